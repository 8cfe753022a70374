package admission

import (
	"math"
	"time"
)

// Constants of the adaptive limit.
const (
	// slowSampleShare is the share of slow requests at which a window counts as slow.
	// The few requests that a freeze delayed are less than half of a window, so they do
	// not lower the limit after the freeze.
	slowSampleShare = 0.5
	// outlierFactor caps a latency, as a multiple of the baseline, so that a few
	// requests do not dominate the mean.
	outlierFactor = 10
	// baselineRiseCap and baselineRiseWeight let the baseline follow a lasting slowdown:
	// a server 3 times slower counts as normal after about 10 s of windows.
	baselineRiseCap    = 3
	baselineRiseWeight = 0.02
	// baselineFallWeight lets the baseline follow a faster server within a second.
	baselineFallWeight = 0.3
	// minDecreaseFactor is the smallest factor by which one window multiplies the limit.
	minDecreaseFactor = 0.5
)

// adaptiveLimit lowers the limit while the server is slower than its baseline latency. In a
// slow window the limit is multiplied by tolerated / observed latency, plus one request of
// headroom so that it does not fall to one when a lower limit does not help. In any other
// window it rises by an eighth of the slots, at least by one.
type adaptiveLimit struct {
	config      Config
	slots       int
	limit       float64
	baseline    float64 // seconds
	windowStart time.Time
	samples     int
	slowSamples int
	latencySum  float64 // seconds
	mutations   *mutations
}

func (a *adaptiveLimit) setSlots(slots int) {
	if a.limit >= float64(a.slots) {
		a.limit = float64(slots)
	}
	a.slots = slots
	a.limit = min(max(a.limit, 1), float64(slots))
}

// observe adds the latency of a request that ended at now. It closes the window once that
// is long enough and has enough samples.
func (a *adaptiveLimit) observe(latency time.Duration, now time.Time) {
	if a.windowStart.IsZero() {
		a.windowStart = now
	}
	s := latency.Seconds()
	if a.baseline > 0 {
		if s > a.baseline*a.config.Tolerance {
			a.slowSamples++
		}
		s = math.Min(s, a.baseline*outlierFactor)
	}
	a.latencySum += s
	a.samples++
	if a.samples >= a.config.MinSamples && now.Sub(a.windowStart) >= a.config.Window {
		a.closeWindow()
		a.resetWindow()
	}
}

// resetWindow discards the samples of the window.
func (a *adaptiveLimit) resetWindow() {
	a.windowStart, a.samples, a.slowSamples, a.latencySum = time.Time{}, 0, 0, 0
}

// closeWindow adjusts the limit and the baseline to the samples of the window.
func (a *adaptiveLimit) closeWindow() {
	mean := a.latencySum / float64(a.samples)
	if a.baseline == 0 {
		a.baseline = mean
		return
	}
	if float64(a.slowSamples) >= slowSampleShare*float64(a.samples) && !a.mutations.noAdaptiveLimit {
		factor := min(1, max(minDecreaseFactor, a.baseline*a.config.Tolerance/mean))
		a.limit = min(a.limit, a.limit*factor+1)
	} else {
		a.limit = min(float64(a.slots), a.limit+max(1, float64(a.slots)/8))
	}
	if mean < a.baseline {
		a.baseline += baselineFallWeight * (mean - a.baseline)
	} else {
		a.baseline += baselineRiseWeight * (math.Min(mean, baselineRiseCap*a.baseline) - a.baseline)
	}
}
