package waitqueue

import "time"

// Config tunes a Queue.
type Config struct {
	// InitialWork is the expected time on the backend server of a request of which
	// nothing is known.
	InitialWork time.Duration
	// Smoothing is the weight of a new measurement of the time on the backend server.
	Smoothing float64
	// Spread is the part of the expected work that is added to it as a reserve against
	// requests that take longer than the mean.
	Spread float64
	// LateShare is the part of the time until its deadline within which a request that
	// misses its target must be expected to end to be kept. A greater share serves more
	// late requests and lets more of them wait in vain.
	LateShare float64
	// MinRetryAfter and MaxRetryAfter bound the time after which a refused caller is
	// told to come back.
	MinRetryAfter, MaxRetryAfter time.Duration
	// ReviewInterval is the least time between two checks of the line for requests that
	// wait in vain; 0 turns them off. A check costs the processor time of sorting the line.
	ReviewInterval time.Duration
	// MaxWaiting bounds the waiting requests.
	MaxWaiting int
}

// DefaultConfig returns the configuration of the daemon.
func DefaultConfig() Config {
	return Config{
		InitialWork: 60 * time.Millisecond, Smoothing: 0.05, Spread: 0.3, LateShare: 0.8,
		MinRetryAfter: 30 * time.Millisecond, MaxRetryAfter: time.Second, MaxWaiting: 512,
		ReviewInterval: 10 * time.Millisecond,
	}
}
