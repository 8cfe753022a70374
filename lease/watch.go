package lease

import (
	"time"

	"github.com/basilway/basilway/cluster"
)

// Since says since when a renewal row is known to be at a version.
type Since struct {
	Version uint64
	At      time.Time
}

// RenewalWatch remembers since when renewal rows are unchanged. The peers of a
// session whose witness set contains the store read its renewal row every
// Config.WatchInterval, so that a takeover need not begin to watch it.
type RenewalWatch struct {
	seen map[cluster.Session]Since
}

// NewRenewalWatch returns a watch without observations.
func NewRenewalWatch() *RenewalWatch {
	return &RenewalWatch{seen: map[cluster.Session]Since{}}
}

// Observe notes a version that was read; now is a time after the answer arrived.
func (w *RenewalWatch) Observe(now time.Time, session cluster.Session, version uint64) Since {
	s, ok := w.seen[session]
	if !ok || version > s.Version {
		s = Since{Version: version, At: now}
		w.seen[session] = s
	}
	return s
}

// Forget drops a session that was fenced or left.
func (w *RenewalWatch) Forget(session cluster.Session) { delete(w.seen, session) }
