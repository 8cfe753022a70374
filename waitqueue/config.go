package waitqueue

import "time"

// Config holds the parameters of a Queue.
type Config struct {
	// InitialWork is the expected time on the backend server of a request whose route has
	// not been measured yet.
	InitialWork time.Duration
	// Smoothing is the weight of a new measurement in the moving averages, from 0 to 1.
	Smoothing float64
	// WorkMargin is the fraction of the expected work that is added to it as a margin for
	// requests that take longer than the mean.
	WorkMargin float64
	// DeadlineFraction applies to requests that would miss their target. Such a request is
	// admitted only if it is expected to end within this fraction of the time until its
	// deadline. A greater fraction serves more late requests but also lets more of them wait
	// in vain.
	DeadlineFraction float64
	// MinRetryAfter and MaxRetryAfter bound the retry-after of a refused request.
	MinRetryAfter, MaxRetryAfter time.Duration
	// ReviewInterval is the minimum time between two checks of the queue for requests that
	// wait in vain; 0 turns the checks off. Each check sorts the queue, which costs processor
	// time.
	ReviewInterval time.Duration
	// MaxWaiting limits the number of waiting requests.
	MaxWaiting int
	// RateBurst is the time whose share of a limit in requests per second may be sent at once.
	// A longer one refuses fewer of the requests that happen to arrive together, but lets more
	// of them reach an overloaded backend server together.
	RateBurst time.Duration
	// ReturnShare is the largest share of the time that they have left for which callers stay
	// away after a refusal.
	ReturnShare float64
	// MinRate is the smallest limit that is applied, in requests per second. Responses to
	// these requests tell when the backend server ends its limit.
	MinRate float64
}

// DefaultConfig returns the configuration that the daemon uses.
func DefaultConfig() Config {
	return Config{
		InitialWork: 60 * time.Millisecond, Smoothing: 0.05, WorkMargin: 0.3, DeadlineFraction: 0.8,
		MinRetryAfter: 30 * time.Millisecond, MaxRetryAfter: time.Second, MaxWaiting: 512,
		ReviewInterval: 10 * time.Millisecond, RateBurst: 250 * time.Millisecond, ReturnShare: 1.0 / 3, MinRate: 0.25,
	}
}
