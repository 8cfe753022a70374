package ownership

import (
	"time"

	"github.com/basilway/basilway/cluster"
)

// The defaults of Config.
const (
	DefaultHandOverRetry   = 200 * time.Millisecond
	DefaultHandOverTimeout = 2 * time.Second
	DefaultHandOverWait    = 500 * time.Millisecond
	DefaultReleasedRetry   = 500 * time.Millisecond
	DefaultAskMoveRetry    = time.Second
	DefaultMaxQueuedUnit   = 256
	DefaultMaxQueued       = 1024
	// DefaultFloorMargin is the sum of the bound on how far ahead an id may be
	// stamped (200 ms) and the bound on the clock difference of daemons (200 ms).
	DefaultFloorMargin = 400 * time.Millisecond
)

// maxReceived bounds the hand-overs remembered before their version is applied.
// Those beyond it cost only a raised floor.
const maxReceived = 4096

// Config sets the bounds of a Machine. Zero durations and counts take the defaults.
type Config struct {
	// Self is this daemon's session.
	Self cluster.Session
	// HandOverRetry is how long after a hand-over message it is sent again.
	HandOverRetry time.Duration
	// HandOverTimeout is how long an unanswered hand-over message is retried before
	// the unit is released without it. Shorter ends the move sooner when the new owner
	// cannot be reached; the new owner then raises its floor.
	HandOverTimeout time.Duration
	// HandOverWait is how long a new owner queues requests for a hand-over message
	// that has not arrived before it raises its floor and serves.
	HandOverWait time.Duration
	// ReleasedRetry is how long after a Released message it is sent again; four times
	// as long if the planner accepted it.
	ReleasedRetry time.Duration
	// AskMoveRetry is how long after asking the planner to move units it is asked again.
	AskMoveRetry time.Duration
	// MaxQueuedUnit bounds the requests queued for one unit, MaxQueued those of all
	// units. More are answered NotRun with reason overloaded.
	MaxQueuedUnit, MaxQueued int
	// FloorMargin is added to the time at which a unit was received without its
	// memory to get the floor. It must be at least the future bound on ids plus the
	// bound on the clock difference of daemons.
	FloorMargin time.Duration
}

func (c Config) withDefaults() Config {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&c.HandOverRetry, DefaultHandOverRetry},
		{&c.HandOverTimeout, DefaultHandOverTimeout},
		{&c.HandOverWait, DefaultHandOverWait},
		{&c.ReleasedRetry, DefaultReleasedRetry},
		{&c.AskMoveRetry, DefaultAskMoveRetry},
		{&c.FloorMargin, DefaultFloorMargin},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	if c.MaxQueuedUnit == 0 {
		c.MaxQueuedUnit = DefaultMaxQueuedUnit
	}
	if c.MaxQueued == 0 {
		c.MaxQueued = DefaultMaxQueued
	}
	return c
}
