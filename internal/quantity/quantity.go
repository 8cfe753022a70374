// Package quantity converts numbers that come from outside. Go leaves it to the machine what a conversion gives
// if the result does not fit, so that the same number means different things on x86-64 and arm64.
package quantity

import (
	"math"
	"time"
)

const (
	// MaxDuration is the largest duration; longer ones are shortened to it. Sums of some of them and of a time
	// do not overflow.
	MaxDuration = 10 * 365 * 24 * time.Hour
	// MaxInt is the largest whole number; larger ones are reduced to it.
	MaxInt = math.MaxInt32
)

// Fits reports whether n units are a duration from -MaxDuration to MaxDuration.
func Fits(n float64, unit time.Duration) bool { return math.Abs(n) <= float64(MaxDuration/unit) }

// Duration returns n units, or the nearest duration from -MaxDuration to MaxDuration; 0 if n is not a number.
func Duration(n float64, unit time.Duration) time.Duration {
	switch {
	case math.IsNaN(n):
		return 0
	case Fits(n, unit):
		return time.Duration(n * float64(unit))
	case n < 0:
		return -MaxDuration
	}
	return MaxDuration
}

// Int returns the whole part of n, or the nearest number from -MaxInt to MaxInt; 0 if n is not a number.
func Int(n float64) int {
	if math.IsNaN(n) {
		return 0
	}
	return int(max(-MaxInt, min(n, MaxInt)))
}
