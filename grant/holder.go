package grant

import (
	"time"

	"github.com/basilway/basilway/keyrange"
)

// Holder tracks what the backend server beside a daemon holds. It is not safe for
// concurrent use. All times must come from one clock that counts suspended time.
type Holder struct {
	config Config
	owner  keyrange.Owner
	// granted is the last answer by fencing token; a token belongs to one change of owner.
	granted map[keyrange.Span]uint64
	// until is when the last grant has surely ended at the backend server.
	until time.Time
	// handovers are tokens of keys whose move is not completed yet.
	handovers []Release
	// completed are the moves that were handed out to be committed. The rest of a range
	// that was split keeps its fencing token, so the token alone does not name a move.
	completed map[keyrange.Span]uint64
	held      []Hold
	active    []Grant
}

// NewHolder returns a Holder for the owner. until is when grants that an earlier process
// of the daemon may have made have ended.
func NewHolder(config Config, owner keyrange.Owner, until time.Time) *Holder {
	return &Holder{config: config, owner: owner, until: until, completed: map[keyrange.Span]uint64{}, granted: map[keyrange.Span]uint64{}}
}

// Owner returns the incarnation that the Holder is for.
func (h *Holder) Owner() keyrange.Owner { return h.owner }

// Until returns when the backend server surely holds nothing if it is not answered again.
func (h *Holder) Until() time.Time { return h.until }

// Heartbeat answers a heartbeat that arrived at now. leaseUntil is the end of the
// daemon's lease; nothing is granted beyond it. The completed moves are to be committed;
// their keys are not granted again unless the table shows that the move was cancelled.
func (h *Holder) Heartbeat(hb Heartbeat, table *keyrange.Space, leaseUntil, now time.Time) (Reply, []Completed) {
	h.held = hb.Holds
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
		if !h.holds(r) {
			g.Handover = r.Handover
		}
		reply.Grants = append(reply.Grants, g)
	}
	h.granted = map[keyrange.Span]uint64{}
	for _, g := range reply.Grants {
		h.granted[g.Span] = g.Fence
	}
	h.active = reply.Grants
	if end := now.Add(time.Duration(float64(hold) * (1 + h.config.ClockSkew))); end.After(h.until) {
		h.until = end
	}
	return reply, done
}

// completedMoves returns the open moves of keys that the backend server does not hold
// and that the last answer did not grant.
func (h *Holder) completedMoves(table *keyrange.Space) []Completed {
	var done []Completed
	for _, r := range table.OwnedBy(h.owner) {
		if !r.Moving() || h.completed[r.Span] == r.Fence || h.busy(r.Span) {
			continue
		}
		done = append(done, Completed{Span: r.Span, Fence: r.Fence, Handover: h.takeHandover(r.Span)})
	}
	return done
}

// busy reports whether the backend server may hold keys of s.
func (h *Holder) busy(s keyrange.Span) bool {
	for span := range h.granted {
		if span.Overlaps(s) {
			return true
		}
	}
	for _, held := range h.held {
		if held.Overlaps(s) {
			return true
		}
	}
	return false
}

func (h *Holder) takeHandover(s keyrange.Span) string {
	for i := len(h.handovers) - 1; i >= 0; i-- {
		if h.handovers[i].Covers(s) {
			return h.handovers[i].Handover
		}
	}
	return ""
}

// Committing marks a completed move as being written to the store, so that it is not
// handed out again.
func (h *Holder) Committing(c Completed) { h.completed[c.Span] = c.Fence }

// Forget drops hand-over tokens of keys that the owner no longer owns.
func (h *Holder) Forget(table *keyrange.Space) {
	kept := h.handovers[:0]
	for _, release := range h.handovers {
		if table.Find(release.From).Owner == h.owner {
			kept = append(kept, release)
		}
	}
	h.handovers = kept
}

// holds reports whether the backend server said that it holds all of r.
func (h *Holder) holds(r keyrange.Range) bool {
	for _, held := range h.held {
		if held.Fence == r.Fence && held.Covers(r.Span) {
			return true
		}
	}
	return false
}

// Serving reports whether the last answer granted key and the grant has not run out.
func (h *Holder) Serving(key uint16, now time.Time) bool {
	if !now.Before(h.until) {
		return false
	}
	for _, g := range h.active {
		if g.Contains(key) {
			return true
		}
	}
	return false
}
