package placement

import (
	"math"
	"time"

	"github.com/basilway/basilway/keyrange"
)

// Demand estimates the load of each key of a service from the requests that all nodes
// received for it, whichever member owns the key. Load is in slots of nominal speed.
type Demand struct {
	window    time.Duration
	decayedAt time.Time
	startedAt time.Time
	keys      map[uint16]float64
}

// NewDemand returns an estimate that starts at now without load.
func NewDemand(window time.Duration, now time.Time) *Demand {
	return &Demand{window: window, decayedAt: now, startedAt: now, keys: map[uint16]float64{}}
}

// Add counts the work of a request for key: its time on a backend server of nominal speed.
func (d *Demand) Add(key uint16, work time.Duration, now time.Time) {
	d.decay(now)
	d.keys[key] += work.Seconds() / d.window.Seconds()
}

// minLoad is the load in slots below which a key is dropped from the estimate.
const minLoad = 1e-3

// minDecayInterval is the minimum time between two decays. It bounds their cost.
const minDecayInterval = 100 * time.Millisecond

func (d *Demand) decay(now time.Time) {
	passed := now.Sub(d.decayedAt)
	if passed < minDecayInterval {
		return
	}
	d.decayedAt = now
	factor := math.Exp(-passed.Seconds() / d.window.Seconds())
	for key, load := range d.keys {
		if load *= factor; load < minLoad {
			delete(d.keys, key)
		} else {
			d.keys[key] = load
		}
	}
}

// WarmedUp reports whether the estimate covers a full window, so that it can be used to move
// keys.
func (d *Demand) WarmedUp(now time.Time) bool { return now.Sub(d.startedAt) >= d.window }

// Loads returns the load of each key that has load. The map is not a copy.
func (d *Demand) Loads(now time.Time) map[uint16]float64 {
	d.decay(now)
	return d.keys
}

// LoadIn returns the load of s. It does not decay the estimate first.
func (d *Demand) LoadIn(s keyrange.Span) float64 {
	sum := 0.0
	for key, load := range d.keys {
		if s.Contains(key) {
			sum += load
		}
	}
	return sum
}
