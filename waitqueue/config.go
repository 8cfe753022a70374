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
	// MinRetryAfter and MaxRetryAfter bound the time after which a refused caller is
	// told to come back.
	MinRetryAfter, MaxRetryAfter time.Duration
	// MaxWaiting bounds the waiting requests.
	MaxWaiting int
}

// DefaultConfig returns the configuration of the daemon.
func DefaultConfig() Config {
	return Config{
		InitialWork: 60 * time.Millisecond, Smoothing: 0.05, Spread: 0.3,
		MinRetryAfter: 30 * time.Millisecond, MaxRetryAfter: time.Second, MaxWaiting: 512,
	}
}
