package node

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// desiredBehind is how long the node has known of a newer desired state than the one in force. It is
// safe for concurrent use.
type desiredBehind struct {
	log *zap.Logger

	mu sync.Mutex
	// newest is the newest version that another node told of, and since when it is known.
	newest uint64
	since  time.Time
	// version is the one in force.
	version uint64
}

// heard records that a node at address has a version.
func (b *desiredBehind) heard(version uint64, address string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if version <= b.version || version <= b.newest {
		return
	}
	if b.newest <= b.version {
		b.since = now
	}
	b.newest = version
	b.log.Info("newer desired state known", zap.Uint64("version", version), zap.Uint64("in force", b.version), zap.String("address", address))
}

// applied records the version in force.
func (b *desiredBehind) applied(version uint64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.version, b.since = version, now
}

// duration returns how long a newer version than the one in force has been known, and 0 if none is.
func (b *desiredBehind) duration(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.newest <= b.version {
		return 0
	}
	return now.Sub(b.since)
}
