// Package quarantine decides which requests may run after backend servers crashed
// while they were in flight. It is pure: the time is passed in.
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

// Table is the quarantine of one daemon with one backend server. It is not safe for
// concurrent use.
type Table struct {
	config   Config
	entries  map[Fingerprint]*entry
	inFlight map[Fingerprint]int
	crashes  uint64
	revision uint64
	breaks   breaks
}

// breaks are faults that tests switch on to prove that they are detected.
type breaks struct{ strikePerRequest bool }

// New returns an empty table.
func New(config Config) *Table {
	return &Table{
		config:   config.withDefaults(),
		entries:  map[Fingerprint]*entry{},
		inFlight: map[Fingerprint]int{},
	}
}

// Strikes returns the strikes of f that count at now, at most two.
func (t *Table) Strikes(f Fingerprint, now time.Time) int {
	e := t.entries[f]
	if e == nil {
		return 0
	}
	return t.live(e, now)
}

func (t *Table) live(e *entry, now time.Time) int {
	n := 0
	for _, r := range e.strikes[:e.n] {
		if now.Before(t.end(r)) {
			n++
		}
	}
	return n
}

func (t *Table) end(r Record) time.Time {
	return time.UnixMilli(r.AtMS).Add(t.config.Retention)
}

// Check returns the time at which the quarantine of f ends, if it is refused at
// now. Any daemon can call it before it forwards a request.
func (t *Table) Check(f Fingerprint, now time.Time) (until time.Time, refused bool) {
	if t.Strikes(f, now) < strikesToRefuse {
		return time.Time{}, false
	}
	return t.end(t.entries[f].strikes[strikesToRefuse-1]), true
}

// Begin decides about a request that is about to be sent to the backend server.
func (t *Table) Begin(f Fingerprint, now time.Time) Decision {
	if e := t.entries[f]; e != nil {
		if until, refused := t.Check(f, now); refused {
			return Decision{Action: Refuse, Until: until}
		}
		if t.live(e, now) > 0 && t.suspectRuns(now) {
			return Decision{Action: Wait}
		}
	}
	t.inFlight[f]++
	return Decision{Action: Run, Ticket: Ticket{fingerprint: f, crashes: t.crashes}}
}

// suspectRuns looks at the requests in flight, whose number the backend server's
// slots bound, because a merge may give a strike to one that runs already.
func (t *Table) suspectRuns(now time.Time) bool {
	for f := range t.inFlight {
		if t.Strikes(f, now) > 0 {
			return true
		}
	}
	return false
}

// End removes a request that Begin counted. It has no effect on a request that was
// in flight at a crash, because Crashed removed it.
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

// Crashed takes a crash of the backend server: it gives one strike to each fingerprint
// in lost, however many requests share it, ends all requests in flight, and returns the
// new records to spread. Requests that the server finished before it stopped are not
// in lost.
func (t *Table) Crashed(lost []Fingerprint, now time.Time) []Record {
	t.crashes++
	clear(t.inFlight)
	return t.strike(lost, now)
}

// AlsoLost gives strikes for the latest crash to requests that were found later.
func (t *Table) AlsoLost(lost []Fingerprint, now time.Time) []Record {
	return t.strike(lost, now)
}

func (t *Table) strike(lost []Fingerprint, now time.Time) []Record {
	lost = slices.Clone(lost)
	slices.Sort(lost)
	if !t.breaks.strikePerRequest {
		lost = slices.Compact(lost)
	}
	out := make([]Record, 0, len(lost))
	for _, f := range lost {
		if t.breaks.strikePerRequest {
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

// Merge adds records of other daemons and returns how many were new. It is
// commutative and idempotent as long as MaxFingerprints is not reached.
func (t *Table) Merge(records []Record, now time.Time) int {
	added := 0
	for _, r := range records {
		ahead := time.UnixMilli(r.AtMS).Sub(now)
		if ahead > t.config.MaxAhead || !now.Before(t.end(r)) {
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

// evict drops the fingerprint with the fewest and then the oldest strikes, so that
// a flood of single strikes does not end a quarantine.
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
	if la, lb := t.live(a, now), t.live(b, now); la != lb {
		return la < lb
	}
	if a.strikes[0].AtMS != b.strikes[0].AtMS {
		return a.strikes[0].AtMS < b.strikes[0].AtMS
	}
	return a.strikes[0].Fingerprint < b.strikes[0].Fingerprint
}

// Expire drops the fingerprints whose strikes no longer count.
func (t *Table) Expire(now time.Time) {
	for f, e := range t.entries {
		if t.live(e, now) == 0 {
			delete(t.entries, f)
		}
	}
}

// Changes returns the records of fingerprints that changed after revision since, and
// the revision to pass next time. Since 0 exports everything, for a hand-over.
func (t *Table) Changes(since uint64, now time.Time) ([]Record, uint64) {
	var out []Record
	for _, e := range t.entries {
		if e.revision <= since {
			continue
		}
		for _, r := range e.strikes[:e.n] {
			if now.Before(t.end(r)) {
				out = append(out, r)
			}
		}
	}
	sortRecords(out)
	return out, t.revision
}

// Len returns the number of fingerprints kept.
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
