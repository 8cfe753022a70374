package grant

import (
	"time"

	"github.com/basilway/basilway/keyrange"
)

// Holder tracks what the backend server of a daemon holds. It is not safe for concurrent
// use. All times must come from one clock that also advances while the system is suspended.
type Holder struct {
	config Config
	owner  keyrange.Owner
	// lastFences holds the fencing tokens of the last grants. A new token is issued with each
	// change of owner.
	lastFences map[keyrange.Span]uint64
	// until is when all grants have ended at the backend server, even if its clock is slow.
	until time.Time
	// handovers are the handover tokens of keys whose move is not completed yet.
	handovers []Release
	// committing holds the fencing tokens of the moves passed to Committing. The rest of a
	// split range keeps its fencing token, so the token alone does not identify a move.
	committing    map[keyrange.Span]uint64
	reportedHolds []Hold
	lastGrants    []Grant
}

// NewHolder returns a Holder for owner. until is when all grants have ended that an earlier
// process of the daemon may have made.
func NewHolder(config Config, owner keyrange.Owner, until time.Time) *Holder {
	return &Holder{config: config, owner: owner, until: until, committing: map[keyrange.Span]uint64{}, lastFences: map[keyrange.Span]uint64{}}
}

// Owner returns the owner whose grants the Holder tracks.
func (h *Holder) Owner() keyrange.Owner { return h.owner }

// Until returns when the backend server holds nothing for certain, if it gets no further
// replies.
func (h *Holder) Until() time.Time { return h.until }

// Heartbeat returns the reply to a heartbeat that arrived at now, and the moves that can be
// committed. leaseUntil is the end of the daemon's lease; no grant lasts longer. The keys of
// these moves are not granted again unless the table shows that the move was cancelled.
func (h *Holder) Heartbeat(hb Heartbeat, table *keyrange.Space, leaseUntil, now time.Time) (Reply, []Completed) {
	h.reportedHolds = hb.Holds
	h.handovers = append(h.handovers, hb.Released...)
	done := h.completedMoves(table)
	hold := time.Duration(float64(leaseUntil.Sub(now)) / (1 + h.config.ClockSkew))
	hold = min(hold, h.config.Hold)
	if hold < h.config.MinHold {
		return Reply{}, done
	}
	reply := Reply{Renew: true, Hold: hold}
	for _, r := range table.OwnedBy(h.owner) {
		if r.Moving() {
			continue
		}
		g := Grant{Span: r.Span, Fence: r.Fence}
		if !h.reportedHolding(r) {
			g.Handover = r.Handover
		}
		reply.Grants = append(reply.Grants, g)
	}
	h.lastFences = map[keyrange.Span]uint64{}
	for _, g := range reply.Grants {
		h.lastFences[g.Span] = g.Fence
	}
	h.lastGrants = reply.Grants
	if end := now.Add(time.Duration(float64(hold) * (1 + h.config.ClockSkew))); end.After(h.until) {
		h.until = end
	}
	return reply, done
}

// completedMoves returns the open moves of keys that the backend server does not hold and
// that the last reply with grants did not grant. It leaves out moves that are being committed.
func (h *Holder) completedMoves(table *keyrange.Space) []Completed {
	var done []Completed
	for _, r := range table.OwnedBy(h.owner) {
		if !r.Moving() || h.committing[r.Span] == r.Fence || h.mayHold(r.Span) {
			continue
		}
		done = append(done, Completed{Span: r.Span, Fence: r.Fence, Handover: h.handoverFor(r.Span)})
	}
	return done
}

// mayHold reports whether the backend server may hold keys of s, because it was granted them
// last or reported them in its last heartbeat.
func (h *Holder) mayHold(s keyrange.Span) bool {
	for span := range h.lastFences {
		if span.Overlaps(s) {
			return true
		}
	}
	for _, held := range h.reportedHolds {
		if held.Overlaps(s) {
			return true
		}
	}
	return false
}

func (h *Holder) handoverFor(s keyrange.Span) string {
	for i := len(h.handovers) - 1; i >= 0; i-- {
		if h.handovers[i].Covers(s) {
			return h.handovers[i].Handover
		}
	}
	return ""
}

// Committing marks a completed move as being written to the store, so that Heartbeat does not
// return it again.
func (h *Holder) Committing(c Completed) { h.committing[c.Span] = c.Fence }

// Forget drops the handover tokens of keys that the owner no longer owns.
func (h *Holder) Forget(table *keyrange.Space) {
	kept := h.handovers[:0]
	for _, release := range h.handovers {
		if table.Find(release.From).Owner == h.owner {
			kept = append(kept, release)
		}
	}
	h.handovers = kept
}

// reportedHolding reports whether the last heartbeat says that the backend server holds all
// of r.
func (h *Holder) reportedHolding(r keyrange.Range) bool {
	for _, held := range h.reportedHolds {
		if held.Fence == r.Fence && held.Covers(r.Span) {
			return true
		}
	}
	return false
}

// Serving reports whether the last reply with grants granted key and the grant has not run
// out.
func (h *Holder) Serving(key uint16, now time.Time) bool {
	if !now.Before(h.until) {
		return false
	}
	for _, g := range h.lastGrants {
		if g.Contains(key) {
			return true
		}
	}
	return false
}
