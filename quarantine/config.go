package quarantine

import (
	"time"

	"github.com/basilway/basilway/cluster"
)

const (
	// strikesToRefuse is the number of strikes at which a request is refused.
	strikesToRefuse = 2
	// DefaultRetention is how long a strike counts.
	DefaultRetention = 10 * time.Minute
	// DefaultMaxFingerprints bounds the memory to about 1 MB.
	DefaultMaxFingerprints = 4096
	// DefaultMaxAhead is twice the bound on the clock difference of daemons.
	DefaultMaxAhead = 400 * time.Millisecond
)

// Config sets the bounds of a Table. Zero fields take the defaults.
type Config struct {
	// Session names this daemon in the crash ids that it creates.
	Session cluster.Session
	// Retention is how long a strike counts. Longer protects better against slow
	// repeats and keeps innocent requests out for longer.
	Retention time.Duration
	// MaxFingerprints bounds the fingerprints kept. When full, those with the fewest
	// and then the oldest strikes are dropped.
	MaxFingerprints int
	// MaxAhead is how far in the future a record of another daemon may lie. Records
	// beyond it are refused, because a wrong clock would extend the quarantine.
	MaxAhead time.Duration
}

func (c Config) withDefaults() Config {
	if c.Retention == 0 {
		c.Retention = DefaultRetention
	}
	if c.MaxFingerprints == 0 {
		c.MaxFingerprints = DefaultMaxFingerprints
	}
	if c.MaxAhead == 0 {
		c.MaxAhead = DefaultMaxAhead
	}
	return c
}
