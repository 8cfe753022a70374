package quarantine

import (
	"time"

	"github.com/basilway/basilway/cluster"
)

const (
	// strikesToRefuse is the number of active strikes at which a request is refused.
	strikesToRefuse = 2
	// DefaultRetention is the default of Config.Retention.
	DefaultRetention = 10 * time.Minute
	// DefaultMaxFingerprints is the default of Config.MaxFingerprints. It limits memory to
	// about 1 MB.
	DefaultMaxFingerprints = 4096
	// DefaultMaxAhead is the default of Config.MaxAhead. It is twice the maximum clock
	// difference between daemons.
	DefaultMaxAhead = 400 * time.Millisecond
)

// Config holds the parameters of a Table. Zero fields take their defaults.
type Config struct {
	// Session identifies this daemon in the crash IDs that it creates.
	Session cluster.Session
	// Retention is how long a strike is active; only active strikes count. A longer time
	// protects better against requests that are repeated slowly but also refuses innocent
	// requests for longer.
	Retention time.Duration
	// MaxFingerprints limits the number of fingerprints kept. Above it, the fingerprints
	// with the fewest active strikes are dropped first, and among these the ones with the
	// oldest strikes.
	MaxFingerprints int
	// MaxAhead is how far in the future the time of a record may be. Merge ignores records
	// beyond it, because a wrong clock would extend the quarantine.
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
