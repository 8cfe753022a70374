package dedupe

import "time"

const (
	// DefaultRetention is how long a finished id is kept by default.
	DefaultRetention = 10 * time.Minute
	// DefaultMaxAhead is the maximum clock difference between daemons.
	DefaultMaxAhead = 200 * time.Millisecond
	// DefaultMaxIDs keeps the ids and the responses under half of the 32 MB allowed for the
	// control plane on a node. At 5,800 non-idempotent requests per second, it holds the ids
	// of the last 8 s.
	DefaultMaxIDs = 50_000
	// DefaultMaxResponseBytes limits the total size of the kept responses by default.
	DefaultMaxResponseBytes = 4 << 20
	// evictionDivisor limits one eviction to MaxIDs/evictionDivisor ids, but at least 1.
	// Evicting several ids at once spreads the cost of finding the unit with the most ids
	// over many requests.
	evictionDivisor = 1024
)

// Config holds the limits of a Memory. Fields that are 0 take their defaults.
type Config struct {
	// Retention is how long an id is kept after its request finished.
	Retention time.Duration
	// MaxAhead is how far the timestamp of an id may be ahead of the daemon's clock. A
	// smaller value may refuse callers whose clocks are right; a larger one raises the floors
	// set on takeovers.
	MaxAhead time.Duration
	// MaxIDs is the maximum number of ids kept, in flight or finished; each takes about
	// 195 bytes. With a smaller value the floors are closer to the current time, so late
	// duplicates get MayHaveRun instead of the kept response.
	MaxIDs int
	// MaxResponseBytes is the maximum total size of the kept responses. A duplicate of an
	// id whose response was dropped gets verdict Ran without a body.
	MaxResponseBytes int
}

func (c Config) withDefaults() Config {
	if c.Retention == 0 {
		c.Retention = DefaultRetention
	}
	if c.MaxAhead == 0 {
		c.MaxAhead = DefaultMaxAhead
	}
	if c.MaxIDs == 0 {
		c.MaxIDs = DefaultMaxIDs
	}
	if c.MaxResponseBytes == 0 {
		c.MaxResponseBytes = DefaultMaxResponseBytes
	}
	return c
}
