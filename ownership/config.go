package ownership

import (
	"time"

	"github.com/basilway/basilway/cluster"
)

// The defaults of Config.
const (
	DefaultHandoverRetry    = 200 * time.Millisecond
	DefaultHandoverTimeout  = 2 * time.Second
	DefaultHandoverWait     = 500 * time.Millisecond
	DefaultReleasedRetry    = 500 * time.Millisecond
	DefaultRequestMoveRetry = time.Second
	DefaultMaxQueuedUnit    = 256
	DefaultMaxQueued        = 1024
	// DefaultFloorMargin is the sum of the largest time by which an id's timestamp may
	// be in the future (200 ms) and the largest clock difference between daemons
	// (200 ms).
	DefaultFloorMargin = 400 * time.Millisecond
)

// maxEarlyHandovers is the maximum number of units in Machine.earlyHandovers. Further
// early handovers are not remembered; the floor of their units is raised instead.
const maxEarlyHandovers = 4096

// Config configures a Machine. Zero durations and counts are replaced by the defaults.
type Config struct {
	// Self is this daemon's session.
	Self cluster.Session
	// HandoverRetry is the time between attempts to send a handover message.
	HandoverRetry time.Duration
	// HandoverTimeout is how long an unanswered handover message is retried before
	// the unit is released without it. A shorter one ends the move sooner if the new
	// owner is unreachable; the new owner then raises its floor.
	HandoverTimeout time.Duration
	// HandoverWait is how long a new owner waits for a missing handover message, with
	// requests queued, before it raises its floor and serves.
	HandoverWait time.Duration
	// ReleasedRetry is the time between attempts to send a Released message. It is four
	// times as long after the planner accepted the message, and a quarter as long after
	// it did not.
	ReleasedRetry time.Duration
	// RequestMoveRetry is the time between RequestMove actions.
	RequestMoveRetry time.Duration
	// MaxQueuedUnit bounds the requests queued for one unit, MaxQueued those for all
	// units. Further requests are answered with NotRun and reason overloaded.
	MaxQueuedUnit, MaxQueued int
	// FloorMargin plus the time of the acquisition is the floor of a unit that was
	// acquired without its memory of request ids. It must be at least the largest time by
	// which an id's timestamp may be in the future plus the largest clock difference
	// between daemons.
	FloorMargin time.Duration
}

func (c Config) withDefaults() Config {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&c.HandoverRetry, DefaultHandoverRetry},
		{&c.HandoverTimeout, DefaultHandoverTimeout},
		{&c.HandoverWait, DefaultHandoverWait},
		{&c.ReleasedRetry, DefaultReleasedRetry},
		{&c.RequestMoveRetry, DefaultRequestMoveRetry},
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
