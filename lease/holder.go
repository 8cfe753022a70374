package lease

import (
	"math/rand/v2"
	"time"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/metastore"
)

// phase is the progress of a change of the witness set.
type phase uint8

const (
	phaseIdle phase = iota
	phaseGathering
	phaseCommitting
	phaseResolving
)

// Holder keeps the lease of one session. Handle drives it.
type Holder struct {
	cfg       Config
	session   cluster.Session
	rng       *rand.Rand
	mutations mutations

	members    Members
	peerActive map[cluster.Session]bool      // latest sessions of the other instances; false if draining
	avoidUntil map[cluster.Session]time.Time // witnesses to avoid, each until its time

	current *grantSet // committed; nil before the first commit
	next    *grantSet // proposed; nil in phaseIdle
	phase   phase
	// nextGeneration is the generation of the next proposed set. Each proposed set has
	// its own, so a committed generation identifies the set.
	nextGeneration uint64

	rowVersion      uint64    // of the row that contains current; 0 before the first commit
	versionKnown    bool      // rowVersion is current
	commitUncertain bool      // an earlier copy of the commit may have been or may be applied
	firstCommitAt   time.Time // when the first copy was sent
	lastCommitAt    time.Time // when the last copy was sent

	sequence      uint64 // numbers renewals and store operations
	commitAttempt uint64
	readAttempt   uint64        // of the read in flight; 0 if none
	resendCommit  bool          // in phaseResolving: the next step sends the commit again
	retryAt       time.Time     // no change starts, and no store operation of one, before this time
	backoff       time.Duration // upper bound of the delay after the next store failure
	changeAt      time.Time     // when a change that is not urgent starts; zero if none
	renewAt       time.Time
	published     LeaseChanged
	stopped       bool
	actions       []Action
}

// mutations switches off single rules. Tests set them to show that they detect the
// missing rule.
type mutations struct {
	skipRemaining        bool // a takeover does not wait for the remaining times of grants
	acceptOldIncarnation bool // a restarted witness grants and seals for its old incarnation
	newSetOnly           bool // only the new set counts while a commit is in flight or unresolved
	grantAfterSeal       bool // a witness grants sealed generations
	reviveLapsed         bool // grants make a lapsed set valid again
	noClockMargin        bool // grants last equally long at holder and witness
	unchangedMeansFailed bool // an unchanged row counts as proof that a lost commit failed
	unconditionalFence   bool // a fence is not conditional on the session row
}

// NewHolder returns the holder of session. It starts to acquire the lease after the
// first Members event; the lease is valid after the first commit.
func NewHolder(cfg Config, session cluster.Session, rng *rand.Rand) *Holder {
	return &Holder{cfg: cfg, session: session, rng: rng, nextGeneration: 1, backoff: cfg.RetryInterval,
		avoidUntil: map[cluster.Session]time.Time{}, versionKnown: true}
}

// ValidUntil returns the end of the lease by the holder's clock; zero if it is
// invalid. It is the value of the last LeaseChanged.
func (h *Holder) ValidUntil() time.Time { return h.published.ValidUntil }

// Valid reports whether the lease is valid at now.
func (h *Holder) Valid(now time.Time) bool { return now.Before(h.published.ValidUntil) }

// WitnessSet returns the committed witness set; its generation is 0 before the first commit.
func (h *Holder) WitnessSet() WitnessSet {
	if h.current == nil {
		return WitnessSet{}
	}
	return h.current.WitnessSet
}

// Stopped reports whether the holder was fenced or left.
func (h *Holder) Stopped() bool { return h.stopped }

// Handle applies an event and returns the actions for the caller. The next call reuses
// the returned slice.
func (h *Holder) Handle(now time.Time, event Event) []Action {
	h.actions = h.actions[:0]
	if h.stopped {
		return nil
	}
	if !h.mutations.reviveLapsed {
		h.current.updateLapsed(now)
		h.next.updateLapsed(now)
	}
	switch e := event.(type) {
	case Tick:
		h.tick(now)
	case Granted:
		h.granted(now, e)
	case Refused:
		h.refused(now, e)
	case Committed:
		h.committed(now, e)
	case RowRead:
		h.rowRead(now, e)
	case Members:
		h.members = e
		h.peerActive = make(map[cluster.Session]bool, len(e.Members))
		for _, m := range latestPeers(e.Self, e.Members) {
			h.peerActive[m.Session] = m.State != cluster.MemberDraining
		}
	case Fenced:
		h.stop(StoppedFenced)
	case Leave:
		h.stop(StoppedLeft)
	}
	h.publish()
	return h.actions
}

func (h *Holder) tick(now time.Time) {
	if !now.Before(h.renewAt) {
		h.renewAt = now.Add(h.cfg.RenewInterval)
		h.renew(now, h.current)
		h.renew(now, h.next)
		h.renewStore(now)
	}
	h.advanceChange(now)
}

// renew asks the witnesses of set for grants, except the store.
func (h *Holder) renew(now time.Time, set *grantSet) {
	if set == nil {
		return
	}
	h.sequence++
	for i, w := range set.Witnesses {
		g := &set.grants[i]
		if g.gone || g.sealed {
			continue
		}
		g.recordSent(h.sequence, now)
		h.emit(SendRenew{Renew{Session: h.session, Witness: w, Generation: set.Generation,
			Sequence: h.sequence, Confirmed: h.WitnessSet().Generation, Rank: uint8(i)}})
	}
}

// renewStore writes the renewal row. The write is conditional on the session row, so
// it fails after a fence and never recreates the renewal row of a fenced session.
func (h *Holder) renewStore(now time.Time) {
	if h.current == nil || !h.current.Store || !h.versionKnown {
		return
	}
	h.sequence++
	h.current.storeGrant().recordSent(h.sequence, now)
	h.emit(CommitRenewal{Attempt: h.sequence, Txn: metastore.Txn{
		Conditions: []metastore.Condition{{Key: SessionKey(h.session), Version: h.rowVersion}},
		Writes:     []metastore.Write{h.renewalWrite()},
	}})
}

func (h *Holder) renewalWrite() metastore.Write {
	return metastore.Write{Key: RenewalKey(h.session), Value: RenewalRow{Sequence: h.sequence}.Encode()}
}

func (h *Holder) granted(now time.Time, m Granted) {
	for _, set := range [...]*grantSet{h.current, h.next} {
		if set == nil || set.Generation != m.Generation || m.Session != h.session {
			continue
		}
		if g := set.find(m.Witness); g != nil && g.extend(m.Sequence, now, h.cfg.holderGrantDuration()) {
			delete(h.avoidUntil, m.Witness)
		}
	}
	if h.phase == phaseGathering {
		h.gather(now)
	}
}

func (h *Holder) refused(now time.Time, m Refused) {
	if m.Session != h.session {
		return
	}
	h.nextGeneration = max(h.nextGeneration, m.SealedUpTo+1)
	if m.Reason == RefusedIncarnation {
		h.avoidUntil[m.Witness] = now.Add(time.Hour) // an incarnation never returns
	}
	for _, set := range [...]*grantSet{h.current, h.next} {
		if set == nil || set.Generation != m.Generation {
			continue
		}
		if g := set.find(m.Witness); g != nil {
			g.gone = g.gone || m.Reason == RefusedIncarnation
			g.sealed = g.sealed || m.Reason == RefusedSealed
		}
	}
	if h.phase == phaseGathering && h.next.Generation == m.Generation {
		h.abandon(now)
	}
}

func (h *Holder) stop(reason StopReason) {
	h.stopped = true
	h.current, h.next = nil, nil
	h.publish()
	h.emit(Stopped{Reason: reason})
}

// validUntil returns the end of the lease. Until the outcome of a commit is known,
// either set may be the one in the row, so both need a quorum.
func (h *Holder) validUntil() time.Time {
	if h.current == nil || h.current.lapsed {
		return time.Time{}
	}
	until := h.current.quorumUntil()
	if h.phase < phaseCommitting {
		return until
	}
	if h.next.lapsed {
		return time.Time{}
	}
	if h.mutations.newSetOnly {
		return h.next.quorumUntil()
	}
	if e := h.next.quorumUntil(); e.Before(until) {
		return e
	}
	return until
}

func (h *Holder) publish() {
	p := LeaseChanged{ValidUntil: h.validUntil(), Generation: h.WitnessSet().Generation}
	if p != h.published {
		h.published = p
		h.emit(p)
	}
}

func (h *Holder) emit(a Action) { h.actions = append(h.actions, a) }
