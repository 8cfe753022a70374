package placement

import "time"

const (
	// refusalWeight is the weight of one result in the rate of refusals.
	refusalWeight = 0.2
	// refusalHalfLife is the time without new results after which the rate counts half, so that
	// a server that was avoided is tried again. It is of the order of the time that a request
	// takes.
	refusalHalfLife = 300 * time.Millisecond
)

// Refusals keeps the share of recent requests that a backend server refused because of
// overload. The zero value has no results. It is not safe for concurrent use.
type Refusals struct {
	rate float64
	at   time.Time
}

// Observe adds the result of a request.
func (r *Refusals) Observe(refused bool, now time.Time) {
	result := 0.0
	if refused {
		result = 1
	}
	old := r.Rate(now)
	r.rate, r.at = old+refusalWeight*(result-old), now
}

// Rate returns the share of recent requests that were refused, from 0 to 1.
func (r *Refusals) Rate(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.rate / (1 + float64(now.Sub(r.at))/float64(refusalHalfLife))
}
