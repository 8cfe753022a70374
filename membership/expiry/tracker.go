// Package expiry finds lease rows that are no longer renewed. It is pure: it takes the
// versions of the rows and the store's clock.
package expiry

import "time"

// Config tunes a Tracker.
type Config struct {
	// After is how long a row must be unchanged, by the store's clock.
	After time.Duration
	// MaxGap is the longest time between two observations that counts as reachable.
	MaxGap time.Duration
	// Reachable is how long the store must have been observed without greater gaps while
	// the row was unchanged, so that an outage of the store alone ends no lease.
	Reachable time.Duration
}

// Lost is a holder whose lease ran out.
type Lost struct {
	Holder string
	// Version is the version at which the row was unchanged.
	Version uint64
	// For is how long it was seen unchanged.
	For time.Duration
}

// seen is the first observation of a version.
type seen struct {
	version uint64
	at      time.Duration
}

// Tracker remembers when each row changed. It is not safe for concurrent use.
type Tracker struct {
	config Config
	rows   map[string]seen
	last   time.Duration
	// since is the start of the observations without gaps.
	since time.Duration
	begun bool
}

// New returns a Tracker that has seen nothing.
func New(config Config) *Tracker { return &Tracker{config: config, rows: map[string]seen{}} }

// Observe takes the versions of all rows by holder at now and returns the holders whose
// rows are unchanged for too long.
func (t *Tracker) Observe(versions map[string]uint64, now time.Duration) []Lost {
	if !t.begun || now-t.last > t.config.MaxGap {
		t.since, t.begun = now, true
	}
	t.last = now
	for holder := range t.rows {
		if _, ok := versions[holder]; !ok {
			delete(t.rows, holder)
		}
	}
	var lost []Lost
	for holder, version := range versions {
		s, ok := t.rows[holder]
		if !ok || s.version != version {
			t.rows[holder] = seen{version: version, at: now}
			continue
		}
		if now-s.at >= t.config.After && now-t.since >= t.config.Reachable {
			lost = append(lost, Lost{Holder: holder, Version: version, For: now - s.at})
		}
	}
	return lost
}
