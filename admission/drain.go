package admission

import "time"

// Constants of the drain estimate.
const (
	// drainWeight is the weight of one request; it forgets a freeze within about 100
	// requests.
	drainWeight = 0.05
	// stallFactor is the time without a start or an end, as a multiple of the mean
	// slot time, from which on a full server counts as stalled.
	stallFactor = 4
)

// drain estimates how fast the server takes requests from the queue.
type drain struct {
	// mean is the smoothed time for which a request holds its slot, in seconds; 0 if
	// none has ended.
	mean float64
	// progress is the time of the last start or end.
	progress time.Time
}

func (d *drain) ended(latency time.Duration) {
	if d.mean == 0 {
		d.mean = latency.Seconds()
		return
	}
	d.mean += drainWeight * (latency.Seconds() - d.mean)
}

// wait estimates the time until n requests have left the queue for concurrency slots.
// While the server is stalled, the expected rest of the stall is its length so far. It
// returns 0 if nothing is known.
func (d *drain) wait(n, concurrency int, full bool, now time.Time) time.Duration {
	if d.mean == 0 || concurrency <= 0 {
		return 0
	}
	seconds := float64(n) * d.mean / float64(concurrency)
	if stall := now.Sub(d.progress).Seconds(); full && stall > stallFactor*d.mean {
		seconds += stall
	}
	return time.Duration(seconds * float64(time.Second))
}
