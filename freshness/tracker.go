// Package freshness decides whether a node may go on with its version of a replicated value once it knows
// that there is a newer one. How soon the newer one arrives depends on links and processor time; that requests are
// not handled by an outdated one must not. A Tracker does no I/O and reads no clock.
package freshness

import "time"

// Config holds the parameters of a Tracker.
type Config struct {
	// Tolerance is how long a node goes on with its version after it heard of a newer one.
	Tolerance time.Duration
	// Expiry is how long it counts that a newer version was heard of. It may have been lost together with all
	// who had it, and then nobody names it again.
	Expiry time.Duration
}

// sighting is a newer version than the one in force, and when it was first heard of.
type sighting struct {
	version uint64
	since   time.Time
}

// maxSightings bounds the versions that are remembered. Of more, the time of the last one counts for those after it.
const maxSightings = 32

// Tracker is what a node knows of newer versions than its own.
type Tracker struct {
	config Config
	// have is the version in force, rejected the newest one that cannot be used here.
	have, rejected uint64
	// newer are the newer versions, oldest first. heardAt is when one was last heard of.
	newer   []sighting
	heardAt time.Time
	// decodingSince is when a value arrived whose version is not known yet; zero if none is being decoded.
	decodingSince time.Time
}

// New returns a tracker of a node without any version.
func New(config Config) *Tracker { return &Tracker{config: config} }

// Heard records that somebody has a version.
func (t *Tracker) Heard(version uint64, now time.Time) {
	if version <= max(t.have, t.rejected) {
		return
	}
	if !t.heardAt.IsZero() && now.Sub(t.heardAt) > t.config.Expiry {
		t.newer = nil
	}
	t.heardAt = now
	last := len(t.newer) - 1
	switch {
	case last >= 0 && version <= t.newer[last].version:
		// A version at least as new was heard of before.
	case len(t.newer) == maxSightings:
		t.newer[last].version = version
	default:
		t.newer = append(t.newer, sighting{version, now})
	}
}

// Decoding records that a value has arrived whose version is not known until it is decoded.
func (t *Tracker) Decoding(now time.Time) {
	if t.decodingSince.IsZero() {
		t.decodingSince = now
	}
}

// Decoded records that no value is being decoded any more.
func (t *Tracker) Decoded() { t.decodingSince = time.Time{} }

// Applied records the version in force.
func (t *Tracker) Applied(version uint64) {
	t.have = max(t.have, version)
	t.forget(version)
}

// Rejected records a version that this node cannot use, though others do. The one before stays in force.
func (t *Tracker) Rejected(version uint64) {
	t.rejected = max(t.rejected, version)
	t.forget(version)
}

// forget removes the sightings up to a version.
func (t *Tracker) forget(version uint64) {
	for len(t.newer) > 0 && t.newer[0].version <= version {
		t.newer = t.newer[1:]
	}
}

// OutdatedFor returns how long the node has known that its version is not the newest; 0 if it does not know of a newer
// one.
func (t *Tracker) OutdatedFor(now time.Time) time.Duration {
	since := t.decodingSince
	if len(t.newer) > 0 && now.Sub(t.heardAt) <= t.config.Expiry && (since.IsZero() || t.newer[0].since.Before(since)) {
		since = t.newer[0].since
	}
	if since.IsZero() {
		return 0
	}
	return max(now.Sub(since), 1)
}

// Verdict says what a node may do with a request.
type Verdict uint8

const (
	// Current means that no newer version is known: the request is handled by the one in force.
	Current Verdict = iota
	// Tolerated means that a newer version is known, for less than the tolerance. What the version in force allows is
	// done; what it does not know may be new.
	Tolerated
	// Outdated means that the request must wait for a newer version, or be refused.
	Outdated
)

// Judge returns what a node may do with a request.
func (t *Tracker) Judge(now time.Time) Verdict {
	switch d := t.OutdatedFor(now); {
	case d == 0:
		return Current
	case d <= t.config.Tolerance:
		return Tolerated
	}
	return Outdated
}
