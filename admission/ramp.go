package admission

import "time"

// ramp bounds the limit after a start of the server.
type ramp struct {
	started  time.Time // zero: no ramp
	share    float64
	duration time.Duration
}

// limit returns the bound at now for slots, and whether the ramp still holds.
func (r *ramp) limit(slots int, now time.Time) (int, bool) {
	if r.started.IsZero() {
		return slots, false
	}
	done := float64(now.Sub(r.started)) / float64(r.duration)
	if done >= 1 {
		return slots, false
	}
	return max(1, int(float64(slots)*(r.share+(1-r.share)*max(0, done)))), true
}
