package placement

import "time"

const (
	// speedFreshFor is the age up to which a learned speed applies, and speedForgottenAfter the one
	// from which the backend server counts as usual again, so that it gets the requests that show a
	// recovery.
	speedFreshFor, speedForgottenAfter = 500 * time.Millisecond, 1500 * time.Millisecond
	// minorSlowdown is the learned speed from which on a backend server counts as usual. Neighbours on
	// an instance slow work to a smaller degree for fractions of a second, which ends before moved keys
	// or requests gain by it.
	minorSlowdown = 0.6
)

// EffectiveSpeed returns the speed that decisions use for a learned one.
func EffectiveSpeed(learned float64) float64 {
	if learned >= minorSlowdown {
		return 1
	}
	return learned
}

// WithCapacity returns the candidate with what its node learned age ago: the number of requests up
// to which it keeps its speed, and its present speed relative to its usual one.
func (c Candidate) WithCapacity(limit int, speed float64, age time.Duration) Candidate {
	c.Slots, speed = max(min(c.Slots, limit), 1), EffectiveSpeed(speed)
	forgotten := min(max(float64(age-speedFreshFor)/float64(speedForgottenAfter-speedFreshFor), 0), 1)
	c.Work = time.Duration(float64(c.Work) / (speed + (1-speed)*forgotten))
	return c
}
