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
	// requestRate is the number of requests per second.
	requestRate float64
	// total is the load of all keys, also of those that were dropped.
	total float64
}

// NewDemand returns an estimate that starts at now without load.
func NewDemand(window time.Duration, now time.Time) *Demand {
	return &Demand{window: window, decayedAt: now, startedAt: now, keys: map[uint16]float64{}}
}

// Add counts requests for key and their work: their time on a backend server of nominal speed.
func (d *Demand) Add(key uint16, work time.Duration, requests int, now time.Time) {
	d.decay(now)
	load := work.Seconds() / d.window.Seconds()
	d.keys[key] += load
	d.total += load
	d.requestRate += float64(requests) / d.window.Seconds()
}

// MeanWork returns the mean work of a request, or 0 without requests.
func (d *Demand) MeanWork(now time.Time) time.Duration {
	d.decay(now)
	if d.requestRate < minRequestRate {
		return 0
	}
	return time.Duration(d.total / d.requestRate * float64(time.Second))
}

// minRequestRate is the rate in requests per second below which the mean work is not known.
const minRequestRate = 1e-3

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
	d.total, d.requestRate = d.total*factor, d.requestRate*factor
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
