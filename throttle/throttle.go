// Package throttle decides at the sender whether a request to an overloaded server is
// worth sending. Throttle does no I/O and reads no clock.
//
// It protects a server that receives several times its capacity from many senders. Each
// refusal costs the server processor time, until none is left for the requests that it
// accepts and for its other work. The method is client-side (adaptive) throttling, from
// "Site Reliability Engineering" (Beyer et al., 2016), chapter 21.
package throttle

import (
	"math"
	"time"
)

// Config holds the parameters of a Throttle.
type Config struct {
	// Multiplier is the number of requests sent per accepted request above which the sender
	// starts to refuse requests. A smaller value protects the server better; a greater one
	// finds free capacity sooner.
	Multiplier float64
	// Allowance is the number of requests that are sent in a window even if none is accepted,
	// so that the sender notices when the server recovers.
	Allowance float64
	// Window is the time constant over which requests are counted.
	Window time.Duration
}

// totalAllowance is the allowance of all senders together, in requests per window.
const totalAllowance = 40

// minAllowance is the minimum allowance of one sender, in requests per window.
const minAllowance = 0.5

// DefaultConfig returns the configuration of one of the given number of senders.
func DefaultConfig(senders int) Config {
	return Config{Multiplier: 2, Allowance: max(minAllowance, totalAllowance/float64(max(senders, 1))), Window: time.Second}
}

// Throttle counts the requests to one server of one priority. It is not safe for concurrent
// use. The zero value is a Throttle without counts, ready to use.
type Throttle struct {
	requests, accepts float64
	decayedAt         time.Time
}

func (t *Throttle) decay(c Config, now time.Time) {
	if t.decayedAt.IsZero() {
		t.decayedAt = now
		return
	}
	f := math.Exp(-now.Sub(t.decayedAt).Seconds() / c.Window.Seconds())
	t.requests, t.accepts, t.decayedAt = t.requests*f, t.accepts*f, now
}

// Allow counts a request and reports whether to send it. random is a uniformly distributed
// random number in [0, 1).
func (t *Throttle) Allow(c Config, random float64, now time.Time) bool {
	t.decay(c, now)
	refuse := (t.requests - c.Multiplier*t.accepts - c.Allowance) / (t.requests + 1)
	t.requests++
	return random >= refuse
}

// Accepted counts a request that the server did not refuse for overload.
func (t *Throttle) Accepted(c Config, now time.Time) {
	t.decay(c, now)
	t.accepts++
}
