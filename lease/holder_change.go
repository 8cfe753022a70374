package lease

import (
	"time"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/metastore"
)

// urgency is how soon the witness set must change.
type urgency uint8

const (
	changeNone urgency = iota
	changeSoon         // at a random time within ReplaceSpread
	changeNow
)

// change moves a change of the witness set on.
func (h *Holder) change(now time.Time) {
	switch h.phase {
	case phaseIdle:
		h.idle(now)
	case phaseGathering:
		h.gather(now)
	case phaseResolving:
		h.resolve(now)
	}
}

func (h *Holder) idle(now time.Time) {
	if now.Before(h.retryAt) {
		return
	}
	if !h.versionKnown {
		h.read()
		return
	}
	switch h.urgency(now) {
	case changeNone:
		h.changeAt = time.Time{}
		return
	case changeSoon:
		if h.changeAt.IsZero() {
			h.changeAt = now.Add(time.Duration(h.rng.Int64N(int64(h.cfg.ReplaceSpread))))
		}
		if now.Before(h.changeAt) {
			return
		}
	}
	h.changeAt = time.Time{}
	h.propose(now)
}

// urgency judges the current set.
func (h *Holder) urgency(now time.Time) urgency {
	if len(h.members.Members) == 0 {
		return changeNone
	}
	if h.current == nil || h.current.lapsed {
		return changeNow
	}
	bad := 0
	for i, w := range h.current.Witnesses {
		g := &h.current.grants[i]
		if !g.gone && !g.sealed && !h.silent(g, now) && h.others[w] {
			continue
		}
		bad++
		if h.silent(g, now) {
			h.avoid[w] = now.Add(4 * h.cfg.GrantDuration)
		}
	}
	switch {
	case bad > 0 && h.current.Size()-bad < h.current.Quorum():
		return changeNow
	case h.current.Size() < MaxWitnesses && h.wrongShape():
		return changeNow // a young cluster; the loss of one witness, or of the store, may end the lease
	case bad > 0 || h.wrongShape():
		return changeSoon
	}
	return changeNone
}

// silent reports whether a witness has not granted for the length of a grant.
func (h *Holder) silent(g *grant, now time.Time) bool {
	return now.Sub(g.heard) > h.cfg.GrantDuration
}

// wrongShape reports whether the cluster has grown or shrunk across the size at
// which the store is a witness, or leaves the set too small.
func (h *Holder) wrongShape() bool {
	n := len(h.others)
	return h.current.Store != (n < MaxWitnesses) || len(h.current.Witnesses) < min(n, MaxWitnesses)
}

// propose begins to collect grants for a new set.
func (h *Holder) propose(now time.Time) {
	p := Preferences{Load: h.members.Load, Limit: h.cfg.SessionsPerWitness, Avoid: map[cluster.Session]bool{}}
	for w, until := range h.avoid {
		if now.Before(until) {
			p.Avoid[w] = true
		} else {
			delete(h.avoid, w)
		}
	}
	refresh := h.current == nil || h.current.lapsed
	if h.current != nil {
		p.Keep = h.current.Witnesses
		for i := range h.current.grants {
			refresh = refresh || h.current.grants[i].sealed || h.current.grants[i].gone
		}
	}
	set := SelectWitnesses(h.members.Self, h.members.Members, p, h.rng)
	if !refresh && set.sameWitnesses(h.current.Set) {
		// A new generation would not help against silence; look again later.
		h.changeAt, h.retryAt = now.Add(h.cfg.GrantDuration), now.Add(h.cfg.RetryInterval)
		return
	}
	set.Generation = h.nextGeneration
	h.nextGeneration++
	h.next = newGrantSet(set, now)
	h.phase = phaseGathering
	h.renew(now, h.next)
	h.gather(now)
}

// gather commits the new set once it has a quorum and every witness had the time of
// one renewal to answer. The commit itself is the store's grant.
func (h *Holder) gather(now time.Time) {
	have, waited := h.next.valid(now), now.Sub(h.next.began)
	if h.next.Store {
		have++
	}
	switch {
	case have == h.next.Size(), have >= h.next.Quorum() && waited >= h.cfg.RenewInterval:
		h.commitOpen = false
		h.firstCommit = now
		h.next.armed = true
		if s := h.next.store(); s != nil {
			s.expiry, s.heard = now.Add(h.cfg.holderGrant()), now
		}
		h.commit(now)
	case waited >= 2*h.cfg.RenewInterval:
		for i, w := range h.next.Witnesses {
			if !now.Before(h.next.grants[i].expiry) {
				h.avoid[w] = now.Add(4 * h.cfg.GrantDuration)
			}
		}
		h.abandon(now)
	}
}

// abandon drops a set whose commit certainly is not and will not be applied.
func (h *Holder) abandon(now time.Time) {
	h.next, h.phase = nil, phaseIdle
	h.commitOpen = false
	h.retryAt = now.Add(h.cfg.RetryInterval)
}

// commit sends the transaction of the new set. All copies are equal and conditional
// on the same version, so at most one of them is applied.
func (h *Holder) commit(now time.Time) {
	h.phase, h.lastCommit = phaseCommitting, now
	h.sequence++
	h.commitAttempt, h.resend = h.sequence, false
	txn := metastore.Txn{
		Conditions: []metastore.Condition{{Key: SessionKey(h.session), Version: h.rowVersion}},
		Writes: []metastore.Write{{Key: SessionKey(h.session),
			Value: SessionRow{Set: h.next.Set, State: RowActive}.Encode()}},
	}
	if h.next.Store {
		txn.Writes = append(txn.Writes, h.renewalWrite())
	}
	h.do(CommitRow{Attempt: h.commitAttempt, Txn: txn})
}

// resolve finds out what became of a commit: it reads the row, and after a read that
// shows the old row it sends the commit again.
func (h *Holder) resolve(now time.Time) {
	switch {
	case now.Before(h.retryAt):
	case h.resend:
		h.commit(now)
	default:
		h.read()
	}
}

func (h *Holder) read() {
	if h.readAttempt != 0 {
		return
	}
	h.sequence++
	h.readAttempt = h.sequence
	h.do(ReadRow{Attempt: h.readAttempt, Key: SessionKey(h.session)})
}

// backOff delays the next attempt at the store after a failure, by a random time
// that grows up to 8 x RetryInterval. Without it, sessions that lost their lease in
// an outage would keep the store busy when it returns.
func (h *Holder) backOff(now time.Time) {
	d := h.backoff
	h.backoff = min(2*d, 8*h.cfg.RetryInterval)
	h.retryAt = now.Add(d/2 + time.Duration(h.rng.Int64N(int64(d/2)+1)))
}
