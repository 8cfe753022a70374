package coldstate

import "time"

// Config holds the parameters of a Tracker.
type Config struct {
	// OverdueAfter is the age of the last statement from which on the backend server is asked.
	OverdueAfter time.Duration
	// ValidFor is the age from which on the last statement says nothing any more.
	ValidFor time.Duration
	// AskInterval is the minimum time between two questions, each of which has a price.
	AskInterval time.Duration
	// A response adds the ratio of its time to the usual one, at most MaxRatio, less SlowRatio
	// to an excess that never falls below 0. An excess above SlowExcess is a sign, once AskShare
	// of the requests that a cold backend server may get in a second have ended since its last
	// statement; with fewer it comes to no harm before its next one.
	SlowRatio, MaxRatio, SlowExcess, AskShare float64
	// ConfirmShare is the share of the requests that a cold backend server may get in a second after which it is
	// asked whether it is still warm, and ConfirmInterval the minimum time between these questions. The requests
	// that are left bound the time for its answer.
	ConfirmShare    float64
	ConfirmInterval time.Duration
}

// DefaultConfig returns the configuration that nodes use. A backend server sends a heartbeat
// every 870 ms; the times leave room for half an interval of delay.
func DefaultConfig() Config {
	return Config{
		OverdueAfter: 1300 * time.Millisecond, ValidFor: 2200 * time.Millisecond, AskInterval: 500 * time.Millisecond,
		SlowRatio: 1.4, MaxRatio: 4, SlowExcess: 2.5, AskShare: 0.25,
		ConfirmShare: 0.6, ConfirmInterval: 100 * time.Millisecond,
	}
}
