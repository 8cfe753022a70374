package placement

import (
	"math"
	"time"

	"github.com/basilway/basilway/keyrange"
)

// Demand estimates the load of each key of a service from the requests that all nodes
// took for it, whoever owns it. Load is in slots of nominal speed.
type Demand struct {
	window time.Duration
	at     time.Time
	began  time.Time
	keys   map[uint16]float64
}

// NewDemand returns an estimate without load that starts at now.
func NewDemand(window time.Duration, now time.Time) *Demand {
	return &Demand{window: window, at: now, began: now, keys: map[uint16]float64{}}
}

// Add counts work of a request for key, in nominal time on a backend server.
func (d *Demand) Add(key uint16, work time.Duration, now time.Time) {
	d.advance(now)
	d.keys[key] += work.Seconds() / d.window.Seconds()
}

// forgetBelow is the load in slots under which a key is dropped from the estimate.
const forgetBelow = 1e-3

// advanceStep is the least time between two decays, to bound their cost.
const advanceStep = 100 * time.Millisecond

func (d *Demand) advance(now time.Time) {
	passed := now.Sub(d.at)
	if passed < advanceStep {
		return
	}
	d.at = now
	factor := math.Exp(-passed.Seconds() / d.window.Seconds())
	for key, load := range d.keys {
		if load *= factor; load < forgetBelow {
			delete(d.keys, key)
		} else {
			d.keys[key] = load
		}
	}
}

// Settled reports whether the estimate has seen enough of the load to move keys by it.
func (d *Demand) Settled(now time.Time) bool { return now.Sub(d.began) >= d.window }

// Loads returns the load of each key that has some.
func (d *Demand) Loads(now time.Time) map[uint16]float64 {
	d.advance(now)
	return d.keys
}

// Of returns the load of a span.
func (d *Demand) Of(s keyrange.Span) float64 {
	sum := 0.0
	for key, load := range d.keys {
		if s.Contains(key) {
			sum += load
		}
	}
	return sum
}
