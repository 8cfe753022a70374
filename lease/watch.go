package lease

import (
	"time"

	"github.com/basilway/basilway/cluster"
)

// FirstSeen says when a renewal row was first seen at a version.
type FirstSeen struct {
	Version uint64
	At      time.Time
}

// RenewalWatch records since when renewal rows are unchanged. The peers of a session
// whose witness set contains the store read its renewal row every
// Config.WatchInterval, so a takeover does not have to start watching the row first.
type RenewalWatch struct {
	seen map[cluster.Session]FirstSeen
}

// NewRenewalWatch returns a watch without observations.
func NewRenewalWatch() *RenewalWatch {
	return &RenewalWatch{seen: map[cluster.Session]FirstSeen{}}
}

// Observe records a version that was read and returns when it was first seen. now must
// not be before the arrival of the response.
func (w *RenewalWatch) Observe(now time.Time, session cluster.Session, version uint64) FirstSeen {
	s, ok := w.seen[session]
	if !ok || version > s.Version {
		s = FirstSeen{Version: version, At: now}
		w.seen[session] = s
	}
	return s
}

// Forget drops the state of a session that was fenced or left.
func (w *RenewalWatch) Forget(session cluster.Session) { delete(w.seen, session) }
