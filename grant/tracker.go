package grant

import (
	"slices"
	"time"

	"github.com/basilway/basilway/keyrange"
)

// Tracker tracks what the backend server of a daemon holds. It is not safe for concurrent
// use. All times must come from one clock that also advances while the system is suspended.
type Tracker struct {
	config Config
	owner  keyrange.Owner
	// lastFences holds the fencing tokens of the last grants. A new token is issued with each
	// change of owner.
	lastFences map[keyrange.Span]uint64
	// until is when all grants have ended at the backend server, even if its clock is slow.
	until time.Time
	// earlierUntil is when the grants of an earlier process of the daemon have ended. Which keys they are
	// for isn't known.
	earlierUntil time.Time
	// reported are the holds that heartbeats listed before earlierUntil.
	reported map[Hold]struct{}
	// handovers are the handover tokens of keys whose move is not completed yet.
	handovers []Release
	// committing holds the fencing tokens of the moves passed to Committing. The rest of a
	// split range keeps its fencing token, so the token alone does not identify a move.
	committing    map[keyrange.Span]uint64
	reportedHolds []Hold
	lastGrants    []Grant
}

// NewTracker returns a Tracker for owner. until is the time by which all grants that an earlier
// process of the daemon may have made have ended.
func NewTracker(config Config, owner keyrange.Owner, until time.Time) *Tracker {
	return &Tracker{config: config, owner: owner, until: until, committing: map[keyrange.Span]uint64{}, lastFences: map[keyrange.Span]uint64{}}
}

// ResumeTracker is NewTracker for an owner that an earlier process of the daemon, which ended at ended, may
// have granted keys.
func ResumeTracker(config Config, owner keyrange.Owner, until, ended time.Time) *Tracker {
	t := NewTracker(config, owner, until)
	t.earlierUntil = ended.Add(config.longestHold())
	if until.Before(t.earlierUntil) {
		t.earlierUntil = until
	}
	t.reported = map[Hold]struct{}{}
	return t
}

// Owner returns the owner whose grants the Tracker tracks.
func (t *Tracker) Owner() keyrange.Owner { return t.owner }

// Until returns the time from which the backend server certainly holds no keys if it gets no
// further replies.
func (t *Tracker) Until() time.Time { return t.until }

// Heartbeat returns the reply to a heartbeat that arrived at now, and the moves that can be
// committed. leaseUntil is the end of the daemon's lease; no grant lasts longer. The keys of
// these moves are not granted again unless the table shows that the move was cancelled.
func (t *Tracker) Heartbeat(hb Heartbeat, table *keyrange.Space, leaseUntil, now time.Time) (Reply, []CompletedMove) {
	t.reportedHolds = hb.Holds
	t.recordEarlierHolds(now)
	t.handovers = append(t.handovers, hb.Released...)
	t.forgetCancelled(table)
	done := t.completedMoves(table, now)
	hold := time.Duration(float64(leaseUntil.Sub(now)) / (1 + t.config.ClockSkew))
	hold = min(hold, t.config.MaxHold)
	if hold < t.config.MinHold {
		return Reply{}, done
	}
	reply := Reply{Renew: true, Hold: hold}
	for _, r := range table.OwnedBy(t.owner) {
		if r.Moving() {
			continue
		}
		g := Grant{Span: r.Span, Fence: r.Fence}
		if !t.Holding(r) {
			g.Handover = r.Handover
		}
		reply.Grants = append(reply.Grants, g)
	}
	reply.Grants, reply.Omitted = t.config.fit(reply.Grants, func(g Grant) bool {
		return t.Holding(keyrange.Range{Span: g.Span, Fence: g.Fence})
	})
	t.lastFences = map[keyrange.Span]uint64{}
	for _, g := range reply.Grants {
		t.lastFences[g.Span] = g.Fence
	}
	t.lastGrants = reply.Grants
	if end := now.Add(t.config.atSlowClock(hold)); end.After(t.until) {
		t.until = end
	}
	return reply, done
}

// completedMoves returns the open moves of keys that the backend server does not hold and
// that the last reply with grants did not grant. It leaves out moves that are being committed.
func (t *Tracker) completedMoves(table *keyrange.Space, now time.Time) []CompletedMove {
	var done []CompletedMove
	for _, r := range table.OwnedBy(t.owner) {
		if !r.Moving() || t.committing[r.Span] == r.Fence || t.mayHold(r.Span) || t.mayHoldFromEarlier(r, now) {
			continue
		}
		done = append(done, CompletedMove{Span: r.Span, Fence: r.Fence, Handover: t.handoverFor(r.Span)})
	}
	return done
}

// mayHold reports whether the backend server may hold keys of s, because it was granted them
// last or reported them in its last heartbeat.
func (t *Tracker) mayHold(s keyrange.Span) bool {
	for span := range t.lastFences {
		if span.Overlaps(s) {
			return true
		}
	}
	for _, held := range t.reportedHolds {
		if held.Overlaps(s) {
			return true
		}
	}
	return false
}

// recordEarlierHolds records which holds the heartbeat lists, until the grants of an earlier process have ended.
func (t *Tracker) recordEarlierHolds(now time.Time) {
	if !now.Before(t.earlierUntil) {
		t.reported = nil
		return
	}
	for _, held := range t.reportedHolds {
		t.reported[held] = struct{}{}
	}
}

// mayHoldFromEarlier reports whether an earlier process may have granted r after the heartbeat was sent that
// says that the backend server doesn't hold it. A heartbeat may arrive late, at the next process. One that
// listed r was sent after the grant, and so were those that followed it.
func (t *Tracker) mayHoldFromEarlier(r keyrange.Range, now time.Time) bool {
	if !now.Before(t.earlierUntil) {
		return false
	}
	for held := range t.reported {
		if held.Fence == r.Fence && held.Covers(r.Span) {
			return false
		}
	}
	return true
}

// MustRelease reports whether the backend server may hold keys that it doesn't own in the table or that are
// moving to another one.
func (t *Tracker) MustRelease(table *keyrange.Space) bool {
	kept := func(s keyrange.Span) bool {
		for key := int(s.From); key <= int(s.To); {
			r := table.Find(uint16(key))
			if r.Owner != t.owner || r.Moving() {
				return false
			}
			key = int(r.To) + 1
		}
		return true
	}
	for span := range t.lastFences {
		if !kept(span) {
			return true
		}
	}
	return slices.ContainsFunc(t.reportedHolds, func(h Hold) bool { return !kept(h.Span) })
}

func (t *Tracker) handoverFor(s keyrange.Span) string {
	for i := len(t.handovers) - 1; i >= 0; i-- {
		if t.handovers[i].Covers(s) {
			return t.handovers[i].Handover
		}
	}
	return ""
}

// Committing marks a completed move as being written to the store, so that Heartbeat does not
// return it again.
func (t *Tracker) Committing(c CompletedMove) { t.committing[c.Span] = c.Fence }

// forgetCancelled forgets the moves passed to Committing that were cancelled: the table shows their keys as owned and not
// moving. A later move of the same keys is a new one.
func (t *Tracker) forgetCancelled(table *keyrange.Space) {
	for span, fence := range t.committing {
		if r := table.Find(span.From); r.Owner == t.owner && r.Fence == fence && !r.Moving() {
			delete(t.committing, span)
		}
	}
}

// Releasing reports whether a completed move of r is being committed.
func (t *Tracker) Releasing(r keyrange.Range) bool {
	fence, ok := t.committing[r.Span]
	return ok && fence == r.Fence
}

// DropHandovers drops the handover tokens of keys that the owner no longer owns.
func (t *Tracker) DropHandovers(table *keyrange.Space) {
	kept := t.handovers[:0]
	for _, release := range t.handovers {
		if table.Find(release.From).Owner == t.owner {
			kept = append(kept, release)
		}
	}
	t.handovers = kept
}

// Holding reports whether the last heartbeat says that the backend server holds all of r.
func (t *Tracker) Holding(r keyrange.Range) bool {
	for _, held := range t.reportedHolds {
		if held.Fence == r.Fence && held.Covers(r.Span) {
			return true
		}
	}
	return false
}

// Serving reports whether the last reply with grants granted key and the grant has not run
// out.
func (t *Tracker) Serving(key uint16, now time.Time) bool {
	if !now.Before(t.until) {
		return false
	}
	for _, g := range t.lastGrants {
		if g.Contains(key) {
			return true
		}
	}
	return false
}
