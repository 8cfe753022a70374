package httproute

import (
	"slices"
	"time"
)

// Destination is a service that gets a share of a route's requests.
type Destination struct {
	Service string
	// Weight is the share of the route's requests, relative to the other destinations.
	Weight int
}

// Route sends requests for a host and a path prefix to services.
type Route struct {
	Name string
	// Host is compared without the port and in lower case.
	Host string
	// Prefix starts and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout limits how long a request may wait; it must be positive.
	Timeout time.Duration
	// TargetLatency is the latency up to which a response has its full value.
	TargetLatency time.Duration
	// Priority ranks the requests; 0 is the highest.
	Priority int
	// MaxAttempts limits the number of backend servers to which one request is sent.
	MaxAttempts int
	// Destinations has at least one element.
	Destinations []Destination
	// AllowedRegions are the regions whose backend servers may get the route's requests; empty if
	// all may.
	AllowedRegions []string
}

// Allows reports whether backend servers in a region may get the route's requests. The region is
// empty if it is not known.
func (r *Route) Allows(region string) bool {
	return len(r.AllowedRegions) == 0 || region != "" && slices.Contains(r.AllowedRegions, region)
}

// HasDestination reports whether the route's requests may go to a service.
func (r *Route) HasDestination(service string) bool {
	return slices.ContainsFunc(r.Destinations, func(d Destination) bool {
		return d.Service == service && (d.Weight > 0 || len(r.Destinations) == 1)
	})
}

// Pick returns the service for the n-th request of the route. It follows the golden-ratio
// low-discrepancy sequence, which interleaves the services so that any run of consecutive
// requests is divided in proportion to the weights.
func (r *Route) Pick(n uint64) string {
	if len(r.Destinations) == 1 {
		return r.Destinations[0].Service
	}
	total := 0
	for _, d := range r.Destinations {
		total += d.Weight
	}
	// 2^64 divided by the golden ratio.
	const goldenStep = 0x9E3779B97F4A7C15
	point := int((n * goldenStep >> 32) * uint64(total) >> 32)
	for _, d := range r.Destinations {
		if point < d.Weight {
			return d.Service
		}
		point -= d.Weight
	}
	return r.Destinations[len(r.Destinations)-1].Service
}
