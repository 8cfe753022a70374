// Package throttle decides at the sender whether a request to an overloaded server is
// worth sending. Throttle is pure.
//
// It answers a server that gets several times what it can serve, from many senders: each
// refusal costs the server processor time, until it has none left for the requests that
// it accepts and for its other duties. The method is the adaptive throttling of the book
// "Site Reliability Engineering" (Beyer et al., 2016), chapter 21.
package throttle

import (
	"math"
	"time"
)

// Config tunes a Throttle.
type Config struct {
	// Multiplier is how many requests are sent for each that is accepted, at most, before
	// requests are refused at the sender. A smaller value protects the server better; a
	// greater one finds free capacity sooner.
	Multiplier float64
	// Allowance is the number of requests that are sent in a window whatever happens to
	// them, so that a recovered server is found.
	Allowance float64
	// Window is the time constant over which requests are counted.
	Window time.Duration
}

// allAllowances is the number of requests that all senders together send in a window
// whatever happens to them.
const allAllowances = 40

// minAllowance is the least allowance of a sender.
const minAllowance = 0.5

// DefaultConfig returns the configuration of the daemon, one of a number of senders.
func DefaultConfig(senders int) Config {
	return Config{Multiplier: 2, Allowance: max(minAllowance, allAllowances/float64(max(senders, 1))), Window: time.Second}
}

// Throttle keeps the counts for one server and one rank of requests. It is not safe for
// concurrent use. The zero value has seen nothing.
type Throttle struct {
	requests, accepts float64
	at                time.Time
}

func (t *Throttle) decay(c Config, now time.Time) {
	if t.at.IsZero() {
		t.at = now
		return
	}
	f := math.Exp(-now.Sub(t.at).Seconds() / c.Window.Seconds())
	t.requests, t.accepts, t.at = t.requests*f, t.accepts*f, now
}

// Allow counts a request and reports whether to send it; chance is evenly distributed in
// [0, 1).
func (t *Throttle) Allow(c Config, chance float64, now time.Time) bool {
	t.decay(c, now)
	refuse := (t.requests - c.Multiplier*t.accepts - c.Allowance) / (t.requests + 1)
	t.requests++
	return chance >= refuse
}

// Accepted counts a request that the server did not refuse for overload.
func (t *Throttle) Accepted(c Config, now time.Time) {
	t.decay(c, now)
	t.accepts++
}
