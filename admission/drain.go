package admission

import "time"

// Constants of the drain estimate.
const (
	// slotTimeWeight is the weight of one request in the mean slot time. The effect of a
	// freeze is gone within about 100 requests.
	slotTimeWeight = 0.05
	// stallFactor is the time without a start or an end, as a multiple of the mean slot
	// time, above which a full server counts as stalled.
	stallFactor = 4
)

// drainEstimate estimates how fast the server takes requests from the queue.
type drainEstimate struct {
	// meanSlotTime is the smoothed time for which a request holds its slot, in seconds; 0
	// until one has ended.
	meanSlotTime float64
	// lastProgress is the time of the last start or end.
	lastProgress time.Time
}

func (d *drainEstimate) observe(latency time.Duration) {
	if d.meanSlotTime == 0 {
		d.meanSlotTime = latency.Seconds()
		return
	}
	d.meanSlotTime += slotTimeWeight * (latency.Seconds() - d.meanSlotTime)
}

// wait estimates the time until n requests have left the queue for concurrency slots. A
// stall of the full server is expected to last as long again as it has lasted so far. It
// returns 0 if nothing is known.
func (d *drainEstimate) wait(n, concurrency int, full bool, now time.Time) time.Duration {
	if d.meanSlotTime == 0 || concurrency <= 0 {
		return 0
	}
	seconds := float64(n) * d.meanSlotTime / float64(concurrency)
	if stall := now.Sub(d.lastProgress).Seconds(); full && stall > stallFactor*d.meanSlotTime {
		seconds += stall
	}
	return time.Duration(seconds * float64(time.Second))
}
