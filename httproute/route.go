package httproute

import "time"

// Part is one destination of a route.
type Part struct {
	Service string
	// Weight is the share of the route's requests, relative to the other parts.
	Weight int
}

// Route sends requests of a host and a path prefix to services.
type Route struct {
	Name string
	// Host is matched without its port and in lower case.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds the time a request is kept waiting; 0 is no bound.
	Timeout time.Duration
	// TargetLatency is the time within which an answer has its full value.
	TargetLatency time.Duration
	// Priority is the rank of the requests; 0 is the highest.
	Priority int
	// MaxAttempts bounds the backend servers to which one request is sent.
	MaxAttempts int
	// Parts has at least one element.
	Parts []Part
}

// Pick returns the service for the n-th request of the route. Any run of consecutive
// numbers is divided by the weights, interleaved by the low-discrepancy sequence of the
// golden ratio.
func (r *Route) Pick(n uint64) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	total := 0
	for _, p := range r.Parts {
		total += p.Weight
	}
	// 2^64 divided by the golden ratio.
	const goldenStep = 0x9E3779B97F4A7C15
	point := int((n * goldenStep >> 32) * uint64(total) >> 32)
	for _, p := range r.Parts {
		if point < p.Weight {
			return p.Service
		}
		point -= p.Weight
	}
	return r.Parts[len(r.Parts)-1].Service
}
