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

// advanceChange takes the next step of a change of the witness set.
func (h *Holder) advanceChange(now time.Time) {
	switch h.phase {
	case phaseIdle:
		h.considerChange(now)
	case phaseGathering:
		h.gather(now)
	case phaseResolving:
		h.resolve(now)
	}
}

// considerChange proposes a new set if the current one has to change and the change is
// due.
func (h *Holder) considerChange(now time.Time) {
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

// urgency returns how soon the current set has to change. It also marks silent
// witnesses as avoided.
func (h *Holder) urgency(now time.Time) urgency {
	if len(h.members.Members) == 0 {
		return changeNone
	}
	if h.current == nil || h.current.lapsed {
		return changeNow
	}
	unusable := 0
	for i, w := range h.current.Witnesses {
		g := &h.current.grants[i]
		if !g.gone && !g.sealed && !h.silent(g, now) && h.peerActive[w] {
			continue
		}
		unusable++
		if h.silent(g, now) {
			h.avoidUntil[w] = now.Add(4 * h.cfg.GrantDuration)
		}
	}
	switch {
	case unusable > 0 && h.current.Size()-unusable < h.current.Quorum():
		return changeNow
	case h.current.Size() < MaxWitnesses && h.wrongSize():
		return changeNow // as in a new cluster: the loss of one witness, or of the store, may end the lease
	case unusable > 0 || h.wrongSize():
		return changeSoon
	}
	return changeNone
}

// silent reports whether a witness has not granted for GrantDuration.
func (h *Holder) silent(g *grant, now time.Time) bool {
	return now.Sub(g.lastHeard) > h.cfg.GrantDuration
}

// wrongSize reports whether the set does not fit the size of the cluster: the store
// is a witness only in small clusters, and the set has to grow with the cluster.
func (h *Holder) wrongSize() bool {
	n := len(h.peerActive)
	return h.current.Store != (n < MaxWitnesses) || len(h.current.Witnesses) < min(n, MaxWitnesses)
}

// propose starts to collect grants for a new set.
func (h *Holder) propose(now time.Time) {
	p := Preferences{Load: h.members.Load, Limit: h.cfg.SessionsPerWitness, Avoid: map[cluster.Session]bool{}}
	for w, until := range h.avoidUntil {
		if now.Before(until) {
			p.Avoid[w] = true
		} else {
			delete(h.avoidUntil, w)
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
	if !refresh && set.sameWitnesses(h.current.WitnessSet) {
		// A new generation does not help if witnesses are only silent; check again later.
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

// gather commits the new set once it has a quorum and either all grants or a
// RenewInterval has passed for the witnesses to answer. The commit counts as the
// store's grant.
func (h *Holder) gather(now time.Time) {
	have, waited := h.next.countValid(now), now.Sub(h.next.createdAt)
	if h.next.Store {
		have++
	}
	switch {
	case have == h.next.Size(), have >= h.next.Quorum() && waited >= h.cfg.RenewInterval:
		h.commitUncertain = false
		h.firstCommitAt = now
		h.next.commitSent = true
		if s := h.next.storeGrant(); s != nil {
			s.expiry, s.lastHeard = now.Add(h.cfg.holderGrantDuration()), now
		}
		h.commit(now)
	case waited >= 2*h.cfg.RenewInterval:
		for i, w := range h.next.Witnesses {
			if !now.Before(h.next.grants[i].expiry) {
				h.avoidUntil[w] = now.Add(4 * h.cfg.GrantDuration)
			}
		}
		h.abandon(now)
	}
}

// abandon drops a new set whose commit was not applied and never will be.
func (h *Holder) abandon(now time.Time) {
	h.next, h.phase = nil, phaseIdle
	h.commitUncertain = false
	h.retryAt = now.Add(h.cfg.RetryInterval)
}

// commit sends the transaction that writes the new set. All copies are conditional on
// the same version of the row, so at most one of them is applied.
func (h *Holder) commit(now time.Time) {
	h.phase, h.lastCommitAt = phaseCommitting, now
	h.sequence++
	h.commitAttempt, h.resendCommit = h.sequence, false
	txn := metastore.Txn{
		Conditions: []metastore.Condition{{Key: SessionKey(h.session), Version: h.rowVersion}},
		Writes: []metastore.Write{{Key: SessionKey(h.session),
			Value: SessionRow{WitnessSet: h.next.WitnessSet, State: RowActive}.Encode()}},
	}
	if h.next.Store {
		txn.Writes = append(txn.Writes, h.renewalWrite())
	}
	h.emit(CommitRow{Attempt: h.commitAttempt, Txn: txn})
}

// resolve finds out whether a commit was applied: it reads the row, and sends the
// commit again after a read that shows the old row.
func (h *Holder) resolve(now time.Time) {
	switch {
	case now.Before(h.retryAt):
	case h.resendCommit:
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
	h.emit(ReadRow{Attempt: h.readAttempt, Key: SessionKey(h.session)})
}

// backOff delays the next store operation after a failure by a random time, up to a
// limit that doubles until it is 8 x RetryInterval. Without it, sessions that lost
// their lease in an outage would overload the store when it returns.
func (h *Holder) backOff(now time.Time) {
	d := h.backoff
	h.backoff = min(2*d, 8*h.cfg.RetryInterval)
	h.retryAt = now.Add(d/2 + time.Duration(h.rng.Int64N(int64(d/2)+1)))
}
