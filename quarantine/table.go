// Package quarantine decides whether requests may run that were in flight when backend
// servers crashed. It does no I/O and reads no clock.
package quarantine

import (
	"slices"
	"time"
)

// entry holds the newest strikes of a fingerprint, newest first.
type entry struct {
	strikes  [strikesToRefuse]Record
	n        int
	revision uint64
}

// Table holds the strikes known to a daemon and the requests in flight on its backend
// server. It is not safe for concurrent use.
type Table struct {
	config    Config
	entries   map[Fingerprint]*entry
	inFlight  map[Fingerprint]int
	crashes   uint64
	revision  uint64
	mutations mutations
}

// mutations switches off single rules. Tests set them to show that they detect the
// missing rule.
type mutations struct{ strikePerRequest bool }

// New returns an empty table.
func New(config Config) *Table {
	return &Table{
		config:   config.withDefaults(),
		entries:  map[Fingerprint]*entry{},
		inFlight: map[Fingerprint]int{},
	}
}

// Strikes returns the number of strikes of f that are active at now, at most two.
func (t *Table) Strikes(f Fingerprint, now time.Time) int {
	e := t.entries[f]
	if e == nil {
		return 0
	}
	return t.activeStrikes(e, now)
}

func (t *Table) activeStrikes(e *entry, now time.Time) int {
	n := 0
	for _, r := range e.strikes[:e.n] {
		if now.Before(t.expiry(r)) {
			n++
		}
	}
	return n
}

func (t *Table) expiry(r Record) time.Time {
	return time.UnixMilli(r.AtMS).Add(t.config.Retention)
}

// Check reports whether f is refused at now and, if so, until when. Any daemon can call it
// before it forwards a request.
func (t *Table) Check(f Fingerprint, now time.Time) (until time.Time, refused bool) {
	if t.Strikes(f, now) < strikesToRefuse {
		return time.Time{}, false
	}
	return t.expiry(t.entries[f].strikes[strikesToRefuse-1]), true
}

// Begin decides on a request that is about to be sent to the backend server.
func (t *Table) Begin(f Fingerprint, now time.Time) Decision {
	if e := t.entries[f]; e != nil {
		if until, refused := t.Check(f, now); refused {
			return Decision{Action: Refuse, Until: until}
		}
		if t.activeStrikes(e, now) > 0 && t.suspectRunning(now) {
			return Decision{Action: Wait}
		}
	}
	t.inFlight[f]++
	return Decision{Action: Run, Ticket: Ticket{fingerprint: f, crashes: t.crashes}}
}

// suspectRunning reports whether a request in flight has a strike. It checks all of them,
// because a merge may add a strike to a request that is already running. Their number is
// limited by the slots of the backend server.
func (t *Table) suspectRunning(now time.Time) bool {
	for f := range t.inFlight {
		if t.Strikes(f, now) > 0 {
			return true
		}
	}
	return false
}

// End removes a request that Begin counted as in flight. It has no effect on a request that
// was in flight at a crash, because Crashed has already removed it.
func (t *Table) End(ticket Ticket) {
	f := ticket.fingerprint
	switch n := t.inFlight[f]; {
	case ticket.crashes != t.crashes || n == 0:
	case n == 1:
		delete(t.inFlight, f)
	default:
		t.inFlight[f] = n - 1
	}
}

// Crashed records a crash of the backend server. It removes all requests in flight, adds one
// strike to each fingerprint in lost, no matter how many requests share the fingerprint, and
// returns the new records to send to other daemons. lost must not include requests that the
// backend server finished before the crash.
func (t *Table) Crashed(lost []Fingerprint, now time.Time) []Record {
	t.crashes++
	clear(t.inFlight)
	return t.strike(lost, now)
}

// AlsoLost adds strikes for the latest crash to requests that were found to be lost after the
// call of Crashed. It returns the new records.
func (t *Table) AlsoLost(lost []Fingerprint, now time.Time) []Record {
	return t.strike(lost, now)
}

func (t *Table) strike(lost []Fingerprint, now time.Time) []Record {
	lost = slices.Clone(lost)
	slices.Sort(lost)
	if !t.mutations.strikePerRequest {
		lost = slices.Compact(lost)
	}
	out := make([]Record, 0, len(lost))
	for _, f := range lost {
		if t.mutations.strikePerRequest {
			t.crashes++
		}
		out = append(out, Record{
			Fingerprint: f,
			Crash:       CrashID{Session: t.config.Session, Sequence: t.crashes},
			AtMS:        now.UnixMilli(),
		})
	}
	sortRecords(out)
	t.Merge(out, now)
	return out
}

// Merge adds records and returns how many were new. It ignores records that are expired or
// too far in the future. It is commutative and idempotent as long as MaxFingerprints is not
// exceeded.
func (t *Table) Merge(records []Record, now time.Time) int {
	added := 0
	for _, r := range records {
		ahead := time.UnixMilli(r.AtMS).Sub(now)
		if ahead > t.config.MaxAhead || !now.Before(t.expiry(r)) {
			continue
		}
		if t.add(r) {
			added++
		}
	}
	for len(t.entries) > t.config.MaxFingerprints {
		t.evict(now)
	}
	return added
}

func (t *Table) add(r Record) bool {
	e := t.entries[r.Fingerprint]
	if e == nil {
		e = &entry{}
		t.entries[r.Fingerprint] = e
	}
	at := e.n
	for i, have := range e.strikes[:e.n] {
		if have.Crash == r.Crash {
			return false
		}
		if at == e.n && r.newer(have) {
			at = i
		}
	}
	if at == strikesToRefuse {
		return false
	}
	e.n = min(e.n+1, strikesToRefuse)
	copy(e.strikes[at+1:e.n], e.strikes[at:])
	e.strikes[at] = r
	t.revision++
	e.revision = t.revision
	return true
}

// evict drops the fingerprint with the fewest active strikes, and among these the one with
// the oldest, so that a flood of single strikes does not end a quarantine.
func (t *Table) evict(now time.Time) {
	var victim *entry
	for _, e := range t.entries {
		if victim == nil || t.evictedBefore(e, victim, now) {
			victim = e
		}
	}
	delete(t.entries, victim.strikes[0].Fingerprint)
}

func (t *Table) evictedBefore(a, b *entry, now time.Time) bool {
	if na, nb := t.activeStrikes(a, now), t.activeStrikes(b, now); na != nb {
		return na < nb
	}
	if a.strikes[0].AtMS != b.strikes[0].AtMS {
		return a.strikes[0].AtMS < b.strikes[0].AtMS
	}
	return a.strikes[0].Fingerprint < b.strikes[0].Fingerprint
}

// Expire drops the fingerprints without an active strike.
func (t *Table) Expire(now time.Time) {
	for f, e := range t.entries {
		if t.activeStrikes(e, now) == 0 {
			delete(t.entries, f)
		}
	}
}

// Changes returns the active records of fingerprints that changed after revision since, and
// the revision to pass in the next call. A since of 0 returns all active records, for a
// handover.
func (t *Table) Changes(since uint64, now time.Time) ([]Record, uint64) {
	var out []Record
	for _, e := range t.entries {
		if e.revision <= since {
			continue
		}
		for _, r := range e.strikes[:e.n] {
			if now.Before(t.expiry(r)) {
				out = append(out, r)
			}
		}
	}
	sortRecords(out)
	return out, t.revision
}

// Len returns the number of fingerprints in the table.
func (t *Table) Len() int { return len(t.entries) }

func sortRecords(records []Record) {
	slices.SortFunc(records, func(a, b Record) int {
		switch {
		case a.Fingerprint != b.Fingerprint && a.Fingerprint < b.Fingerprint:
			return -1
		case a.Fingerprint != b.Fingerprint:
			return 1
		case a.newer(b):
			return -1
		case b.newer(a):
			return 1
		default:
			return 0
		}
	})
}
