package placement

import (
	"math"
	"time"
)

// BalanceDue reports whether a plan may move keys for balance. age is the age of the load
// estimate, sinceLast the time since the last plan that could move keys for balance.
//
// Load pattern: neighbouring keys become hot together, or load begins on keys that were divided
// without knowing it. One member then gets several times the load of the others, and most of its
// requests are refused until its keys have moved. Such a member shortens the interval and the
// time for which the load has to be observed first. Smaller differences wait for the full
// window, because an early estimate is noisy.
func (c Config) BalanceDue(in Input, age, sinceLast time.Duration) bool {
	if age >= c.Window && sinceLast >= c.BalanceInterval {
		return true
	}
	return age >= c.UrgentWarmUp && sinceLast >= c.UrgentInterval && urgent(in, c)
}

// urgent reports whether a member has far more load than it can take while others have room.
func urgent(in Input, c Config) bool {
	if len(in.Members) < c.UrgentMinMembers {
		return false
	}
	p := newPlan(in, c)
	if len(p.ready) == 0 {
		return false
	}
	limit := max(c.UrgentUtilization, c.UrgentRatio*p.mean())
	for _, b := range p.ready {
		if b.utilization() >= limit {
			return true
		}
	}
	return false
}

// Age returns how long the load has been observed.
func (d *Demand) Age(now time.Time) time.Duration { return now.Sub(d.startedAt) }

// EarlyLoads returns the load of each key as Loads does, corrected for the part of the window
// that has not been observed yet. The map is a copy.
func (d *Demand) EarlyLoads(now time.Time) map[uint16]float64 {
	observed := 1 - math.Exp(-d.Age(now).Seconds()/d.window.Seconds())
	out := make(map[uint16]float64, len(d.keys))
	for key, load := range d.Loads(now) {
		out[key] = load / max(observed, minObserved)
	}
	return out
}

// minObserved is the smallest share of the window that EarlyLoads extrapolates from.
const minObserved = 0.1
