package lease

import (
	"math/rand/v2"
	"time"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/metastore"
)

// phase is the state of a change of the witness set.
type phase uint8

const (
	phaseIdle phase = iota
	phaseGathering
	phaseCommitting
	phaseResolving
)

// Holder keeps the lease of one session. Handle drives it.
type Holder struct {
	cfg     Config
	session cluster.Session
	rng     *rand.Rand
	breaks  breaks

	members Members
	others  map[cluster.Session]bool      // possible witnesses; false for draining ones
	avoid   map[cluster.Session]time.Time // do not choose before this time

	current *grantSet // committed; nil before the first commit
	next    *grantSet // being gathered or committed
	phase   phase
	// nextGeneration numbers the next proposed set. Each proposed set has its own
	// number, so that a committed generation identifies the set.
	nextGeneration uint64

	rowVersion   uint64 // of the row that names current; 0 before the first commit
	versionKnown bool
	commitOpen   bool      // an earlier copy of the commit may have been or may be applied
	firstCommit  time.Time // when the first copy was sent
	lastCommit   time.Time // when the last copy was sent

	sequence      uint64 // numbers renewals and attempts at the store
	commitAttempt uint64
	readAttempt   uint64        // of the read in flight; 0 if none
	resend        bool          // resolving: the next step sends the commit again
	retryAt       time.Time     // no attempt at the store before this time
	backoff       time.Duration // after the next failure of the store
	changeAt      time.Time     // when a wanted but not urgent change begins; zero if none
	renewAt       time.Time
	published     LeaseChanged
	stopped       bool
	actions       []Action
}

// breaks switches rules off, so that tests can show that they notice it.
type breaks struct {
	skipRemaining      bool // takeover does not wait out remaining times
	countRestarted     bool // a restarted witness grants and seals for its old incarnation
	singleValidity     bool // the new set alone counts while the commit is open
	grantAfterSeal     bool // a witness grants sealed generations
	reviveLapsed       bool // grants revive a lapsed set
	noClockMargin      bool // grants last equally long at holder and witness
	readIsFailure      bool // an unchanged row counts as proof that a lost commit failed
	unconditionalFence bool // a fence is not conditional on the session row
}

// NewHolder returns the holder of session. It becomes active with the first Members
// and is valid after its first commit.
func NewHolder(cfg Config, session cluster.Session, rng *rand.Rand) *Holder {
	return &Holder{cfg: cfg, session: session, rng: rng, nextGeneration: 1, backoff: cfg.RetryInterval,
		avoid: map[cluster.Session]time.Time{}, versionKnown: true}
}

// ValidUntil returns the end of the lease by the holder's clock; zero if it is
// invalid. It is the value of the last LeaseChanged.
func (h *Holder) ValidUntil() time.Time { return h.published.ValidUntil }

// Valid reports whether the lease is valid at now.
func (h *Holder) Valid(now time.Time) bool { return now.Before(h.published.ValidUntil) }

// Set returns the committed witness set; its generation is 0 before the first commit.
func (h *Holder) Set() Set {
	if h.current == nil {
		return Set{}
	}
	return h.current.Set
}

// Stopped reports whether the holder was fenced or left.
func (h *Holder) Stopped() bool { return h.stopped }

// Handle applies an event and returns what the caller has to do. The returned slice
// is reused by the next call.
func (h *Holder) Handle(now time.Time, event Event) []Action {
	h.actions = h.actions[:0]
	if h.stopped {
		return nil
	}
	if !h.breaks.reviveLapsed {
		h.current.observe(now)
		h.next.observe(now)
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
		h.others = make(map[cluster.Session]bool, len(e.Members))
		for _, m := range others(e.Self, e.Members) {
			h.others[m.Session] = m.State != cluster.MemberDraining
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
	h.change(now)
}

// renew asks the peers of set for grants.
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
		g.noteSent(h.sequence, now)
		h.do(SendRenew{Renew{Session: h.session, Witness: w, Generation: set.Generation,
			Sequence: h.sequence, Confirmed: h.Set().Generation, Rank: uint8(i)}})
	}
}

// renewStore writes the renewal row. The write is conditional on the session row, so
// that it shows a fence and never brings the renewal row of a fenced session back.
func (h *Holder) renewStore(now time.Time) {
	if h.current == nil || !h.current.Store || !h.versionKnown {
		return
	}
	h.sequence++
	h.current.store().noteSent(h.sequence, now)
	h.do(CommitRenewal{Attempt: h.sequence, Txn: metastore.Txn{
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
		if g := set.find(m.Witness); g != nil && g.extend(m.Sequence, now, h.cfg.holderGrant()) {
			delete(h.avoid, m.Witness)
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
		h.avoid[m.Witness] = now.Add(time.Hour) // an incarnation never returns
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
	h.do(Stopped{Reason: reason})
}

// validUntil returns the end of the lease. While the outcome of a commit is open,
// either set may be the one in the row, so both need their quorum.
func (h *Holder) validUntil() time.Time {
	if h.current == nil || h.current.lapsed {
		return time.Time{}
	}
	until := h.current.until()
	if h.phase < phaseCommitting {
		return until
	}
	if h.next.lapsed {
		return time.Time{}
	}
	if h.breaks.singleValidity {
		return h.next.until()
	}
	if e := h.next.until(); e.Before(until) {
		return e
	}
	return until
}

func (h *Holder) publish() {
	p := LeaseChanged{ValidUntil: h.validUntil(), Generation: h.Set().Generation}
	if p != h.published {
		h.published = p
		h.do(p)
	}
}

func (h *Holder) do(a Action) { h.actions = append(h.actions, a) }
