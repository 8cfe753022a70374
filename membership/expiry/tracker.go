// Package expiry finds lease rows that are no longer renewed. It is pure: it takes the
// versions of the rows and the store's clock. All versions are drawn from one counter, so
// any answer of the store tells how old a version is at least.
package expiry

import "time"

// Config tunes a Tracker.
type Config struct {
	// After is how long a row must be unchanged, by the store's clock.
	After time.Duration
	// MaxGap is the longest time between two answers of the store during which it counts
	// as reachable.
	MaxGap time.Duration
	// Reachable is how long the store must have been reachable before a lease counts as
	// run out, so that an outage of the store alone ends no lease.
	Reachable time.Duration
	// Resolution is the least distance of two samples that are kept.
	Resolution time.Duration
}

// Lost is a holder whose lease ran out.
type Lost struct {
	Holder string
	// Version is the version at which the row was unchanged.
	Version uint64
	// For is how long it was unchanged at least.
	For time.Duration
}

// sample says that version was the newest of the store at a time.
type sample struct {
	version uint64
	at      time.Duration
}

// Tracker remembers which versions existed when. It is not safe for concurrent use.
type Tracker struct {
	config  Config
	samples []sample // ascending
	// since is the start of the answers without gaps.
	since time.Duration
	last  time.Duration
	begun bool
}

// New returns a Tracker that has seen nothing.
func New(config Config) *Tracker { return &Tracker{config: config} }

// Sample takes the newest version of the store at now.
func (t *Tracker) Sample(version uint64, now time.Duration) {
	if now < t.last {
		return // an answer that was overtaken
	}
	if !t.begun || now-t.last > t.config.MaxGap {
		t.since, t.begun = now, true
	}
	t.last = now
	n := len(t.samples)
	if n > 0 && (t.samples[n-1].version == version || now-t.samples[n-1].at < t.config.Resolution) {
		return
	}
	t.samples = append(t.samples, sample{version, now})
	for len(t.samples) > 2 && now-t.samples[1].at > 2*t.config.After {
		t.samples = t.samples[1:]
	}
}

// Age returns how long a version has existed at least.
func (t *Tracker) Age(version uint64) time.Duration {
	for _, s := range t.samples {
		if s.version >= version {
			return t.last - s.at
		}
	}
	return 0
}

// Newest returns the newest sample that was kept; zeros without one.
func (t *Tracker) Newest() (version uint64, at time.Duration) {
	if n := len(t.samples); n > 0 {
		return t.samples[n-1].version, t.samples[n-1].at
	}
	return 0, 0
}

// Reachable returns how long the store has answered without gaps.
func (t *Tracker) Reachable() time.Duration { return t.last - t.since }

// Lost takes the versions of all rows by holder, as of the last sample, and returns the
// holders whose rows are unchanged for too long.
func (t *Tracker) Lost(versions map[string]uint64) []Lost {
	if !t.begun || t.last-t.since < t.config.Reachable {
		return nil
	}
	var lost []Lost
	for holder, version := range versions {
		if age := t.Age(version); age >= t.config.After {
			lost = append(lost, Lost{Holder: holder, Version: version, For: age})
		}
	}
	return lost
}
