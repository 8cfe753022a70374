// Package expiry detects leases whose rows are no longer renewed. It does no I/O and reads no
// clock: it takes the versions of the rows and the store's time. All row versions come from
// one counter, so every response of the store gives a minimum age for all earlier versions.
package expiry

import (
	"time"

	"github.com/basilway/basilway/metastore"
)

// Config holds the parameters of a Tracker.
type Config struct {
	// ExpireAfter is how long a row must be unchanged, by the store's clock, for its lease to
	// count as expired.
	ExpireAfter time.Duration
	// MaxGap is the maximum time between two responses of the store for it to count as
	// reachable in between.
	MaxGap time.Duration
	// Reachable is how long the store must have been reachable before a lease counts as
	// expired, so that an outage of the store alone expires no lease.
	Reachable time.Duration
	// Resolution is the minimum time between two samples that are kept.
	Resolution time.Duration
}

// Lost is a holder whose lease has expired.
type Lost struct {
	Holder string
	// Version is the version of the unchanged row.
	Version uint64
	// Age is the minimum time for which the row has been unchanged.
	Age time.Duration
}

// sample records that version was the newest version in the store at a time.
type sample struct {
	version uint64
	at      time.Duration
}

// Tracker records which versions existed at which time. It is not safe for concurrent use.
type Tracker struct {
	config  Config
	samples []sample // ascending
	// reachableSince is the time of the first response after the last gap.
	reachableSince time.Duration
	lastSample     time.Duration
	started        bool
}

// New returns a Tracker without samples.
func New(config Config) *Tracker { return &Tracker{config: config} }

// Sample records that version is the newest version in the store at now, by the store's
// clock. Samples that are older than the last one are ignored.
func (t *Tracker) Sample(version uint64, now time.Duration) {
	if n := len(t.samples); n > 0 && metastore.Generation(version) > metastore.Generation(t.samples[n-1].version) {
		// The store went back, so earlier samples say nothing about its rows.
		*t = Tracker{config: t.config}
	}
	if now < t.lastSample {
		return // a later response was processed first
	}
	if !t.started || now-t.lastSample > t.config.MaxGap {
		t.reachableSince, t.started = now, true
	}
	t.lastSample = now
	n := len(t.samples)
	if n > 0 && (t.samples[n-1].version == version || now-t.samples[n-1].at < t.config.Resolution) {
		return
	}
	t.samples = append(t.samples, sample{version, now})
	for len(t.samples) > 2 && now-t.samples[1].at > 2*t.config.ExpireAfter {
		t.samples = t.samples[1:]
	}
}

// Age returns the minimum time for which version has existed, as of the last sample.
func (t *Tracker) Age(version uint64) time.Duration {
	for _, s := range t.samples {
		if s.version >= version {
			return t.lastSample - s.at
		}
	}
	return 0
}

// Newest returns the newest sample that was kept, or zeros if there is none.
func (t *Tracker) Newest() (version uint64, at time.Duration) {
	if n := len(t.samples); n > 0 {
		return t.samples[n-1].version, t.samples[n-1].at
	}
	return 0, 0
}

// Reachable returns for how long the store has been reachable without a gap, as of the last
// sample.
func (t *Tracker) Reachable() time.Duration { return t.lastSample - t.reachableSince }

// Lost returns the holders whose leases have expired. versions holds the versions of all rows
// by holder, as of the last sample.
func (t *Tracker) Lost(versions map[string]uint64) []Lost {
	if !t.started || t.lastSample-t.reachableSince < t.config.Reachable {
		return nil
	}
	var lost []Lost
	for holder, version := range versions {
		if age := t.Age(version); age >= t.config.ExpireAfter {
			lost = append(lost, Lost{Holder: holder, Version: version, Age: age})
		}
	}
	return lost
}
