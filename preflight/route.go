// Package preflight decides whether a node asks another one if its request queue would admit a
// request before it sends the request with its body. Route does no I/O and reads no clock.
//
// The load pattern that it answers: capacity is short and many forwarded requests are refused on
// arrival. Their bodies have used the link between availability zones in vain.
package preflight

import (
	"math"
	"time"
)

const (
	// QuestionBytes is what a question and its answer take on a connection, with a route's name
	// of 20 bytes. A test in internal/node compares it with what is sent.
	QuestionBytes = 190
	// minGain is how many times the cost of a question the expected saving must be. The share of
	// refusals is an estimate from few requests.
	minGain = 2
	// window is the time constant over which results count. It must cover several requests and
	// still follow the begin and the end of a burst.
	window = time.Second
	// assumedServed is the number of served requests that are added to those in the window, so that
	// one refusal alone is not taken for a share of 1, and the share falls without new results.
	assumedServed = 1
)

// Route keeps the share of recent requests of one route that were refused because of overload. The
// zero value has no results. It is not safe for concurrent use.
type Route struct {
	refused, total float64
	at             time.Time
}

// Observe adds the result of a request.
func (r *Route) Observe(refused bool, now time.Time) {
	f := r.decay(now)
	r.refused, r.total, r.at = r.refused*f, r.total*f+1, now
	if refused {
		r.refused++
	}
}

// Share returns the share of recent requests that were refused, from 0 to 1.
func (r *Route) Share(now time.Time) float64 {
	f := r.decay(now)
	return r.refused * f / (r.total*f + assumedServed)
}

// Ask reports whether the expected saving of a question before a request with a body is clearly
// greater than what the question costs.
func (r *Route) Ask(bodyBytes int, now time.Time) bool {
	return r.Share(now)*float64(bodyBytes) > minGain*QuestionBytes
}

// decay returns the weight that earlier results have at now.
func (r *Route) decay(now time.Time) float64 {
	return math.Exp(-max(now.Sub(r.at), 0).Seconds() / window.Seconds())
}
