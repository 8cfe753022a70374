package dedupe

import "time"

const (
	// DefaultRetention is how long a finished id is kept.
	DefaultRetention = 10 * time.Minute
	// DefaultMaxAhead is the bound on the clock difference of daemons.
	DefaultMaxAhead = 200 * time.Millisecond
	// DefaultMaxIDs keeps the ids and the answers under half of the 32 MB that control
	// may use on a node. At 5,800 non-idempotent requests a second it lasts 8 s.
	DefaultMaxIDs = 50_000
	// DefaultMaxAnswerBytes bounds the kept answers.
	DefaultMaxAnswerBytes = 4 << 20
	// evictionBatch is the share of MaxIDs that one eviction drops at most. It
	// spreads the search for the unit with the most ids over many requests.
	evictionBatch = 1024
)

// Config sets the bounds of a Memory. Zero fields take the defaults.
type Config struct {
	// Retention is how long an id is kept after it finished.
	Retention time.Duration
	// MaxAhead is how far ahead of the daemon's clock an id may be stamped. Smaller
	// refuses callers whose clocks are right; larger raises the floors of takeovers.
	MaxAhead time.Duration
	// MaxIDs bounds the ids kept, in flight or finished; each takes about 195 bytes.
	// With fewer, the floor follows the clock more closely, and slow repeats are
	// answered MayHaveRun instead of with the kept answer.
	MaxIDs int
	// MaxAnswerBytes bounds the bytes of all kept answers. Repeats of ids whose
	// answer was dropped get verdict Ran without a body.
	MaxAnswerBytes int
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
	if c.MaxAnswerBytes == 0 {
		c.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	return c
}
