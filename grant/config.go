package grant

import "time"

// Config limits the grants of a Tracker.
type Config struct {
	// MaxHold is the maximum duration of a grant. A longer one outlasts late heartbeats and
	// restarts of the daemon; a shorter one frees the keys of a silent backend server sooner.
	MaxHold time.Duration
	// MinHold is the minimum duration of a grant. For a shorter time nothing is granted.
	MinHold time.Duration
	// ClockSkew is the fraction by which the backend server's clock may run slower than the
	// daemon's.
	ClockSkew float64
	// MaxReplyBytes limits the sum of GrantBytes of the grants of a reply, if GrantBytes is not nil. The backend
	// server takes no longer reply.
	MaxReplyBytes int
	// GrantBytes returns how many bytes a grant takes in a reply.
	GrantBytes func(Grant) int
}

// DefaultConfig returns the configuration that the daemon uses. ClockSkew is the platform's
// bound of 2 % plus a margin for rounding.
func DefaultConfig() Config {
	return Config{MaxHold: 4 * time.Second, MinHold: 200 * time.Millisecond, ClockSkew: 0.025}
}

// atSlowClock returns how long a grant lasts on a backend server whose clock runs as slow as ClockSkew says.
func (c Config) atSlowClock(hold time.Duration) time.Duration {
	return time.Duration(float64(hold) * (1 + c.ClockSkew))
}

// longestHold returns the longest time for which a backend server holds keys after the daemon has answered its
// last heartbeat.
func (c Config) longestHold() time.Duration { return c.atSlowClock(c.MaxHold) }
