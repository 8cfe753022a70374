package admission

import "time"

// ramp limits the slots in use after a start of the server.
type ramp struct {
	started    time.Time // zero: no ramp
	startShare float64
	duration   time.Duration
}

// limit returns how many of slots may be in use at now, and whether the ramp is still in
// progress.
func (r *ramp) limit(slots int, now time.Time) (int, bool) {
	if r.started.IsZero() {
		return slots, false
	}
	done := float64(now.Sub(r.started)) / float64(r.duration)
	if done >= 1 {
		return slots, false
	}
	return max(1, int(float64(slots)*(r.startShare+(1-r.startShare)*max(0, done)))), true
}
