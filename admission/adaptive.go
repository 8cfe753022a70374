package admission

import (
	"math"
	"time"
)

// Constants of the adaptive limit.
const (
	// slowShare is the share of slow requests from which on a window is slow. Half
	// keeps the few requests that a freeze held up from lowering the limit after it.
	slowShare = 0.5
	// outlier caps a latency, as a multiple of the usual one, so that a few requests
	// do not decide the mean.
	outlier = 10
	// riseCap and riseWeight let the usual latency follow a lasting slowdown: a server
	// 3 times slower counts as normal again after about 10 s of windows.
	riseCap    = 3
	riseWeight = 0.02
	// fallWeight lets the usual latency follow a faster server within a second.
	fallWeight = 0.3
	// maxDecrease bounds what one window takes away.
	maxDecrease = 0.5
)

// adaptive lowers the limit while the server is slower than usual. In a slow window
// the limit is multiplied by tolerated / observed latency, plus one request of
// headroom so that it does not fall to one when a lower limit does not help. In any
// other window it rises by an eighth of the slots, at least one.
type adaptive struct {
	config  Config
	slots   int
	limit   float64
	usual   float64 // seconds
	start   time.Time
	samples int
	slow    int
	sum     float64 // seconds
	faults  *testFaults
}

func (a *adaptive) setSlots(slots int) {
	if a.limit >= float64(a.slots) {
		a.limit = float64(slots)
	}
	a.slots = slots
	a.limit = min(max(a.limit, 1), float64(slots))
}

// observe adds the latency of one request that ended at now.
func (a *adaptive) observe(latency time.Duration, now time.Time) {
	if a.start.IsZero() {
		a.start = now
	}
	s := latency.Seconds()
	if a.usual > 0 {
		if s > a.usual*a.config.Tolerance {
			a.slow++
		}
		s = math.Min(s, a.usual*outlier)
	}
	a.sum += s
	a.samples++
	if a.samples >= a.config.MinSamples && now.Sub(a.start) >= a.config.Window {
		a.judge()
		a.reset()
	}
}

// reset drops the window.
func (a *adaptive) reset() {
	a.start, a.samples, a.slow, a.sum = time.Time{}, 0, 0, 0
}

func (a *adaptive) judge() {
	mean := a.sum / float64(a.samples)
	if a.usual == 0 {
		a.usual = mean
		return
	}
	if float64(a.slow) >= slowShare*float64(a.samples) && !a.faults.noAdaptiveLimit {
		factor := min(1, max(maxDecrease, a.usual*a.config.Tolerance/mean))
		a.limit = min(a.limit, a.limit*factor+1)
	} else {
		a.limit = min(float64(a.slots), a.limit+max(1, float64(a.slots)/8))
	}
	if mean < a.usual {
		a.usual += fallWeight * (mean - a.usual)
	} else {
		a.usual += riseWeight * (math.Min(mean, riseCap*a.usual) - a.usual)
	}
}
