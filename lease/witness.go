package lease

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/basilway/basilway/cluster"
)

// sessionState is the witness's state of one session.
type sessionState struct {
	session cluster.Session
	grants  []issuedGrant // grants that have not expired, one per generation
	// sealed is the highest sealed generation; it and earlier ones are never granted
	// again.
	sealed uint64
	// confirmed is the highest generation known to be committed.
	confirmed uint64
	rank      uint8
	report    expiryReport
}

// issuedGrant is the last grant of one generation.
type issuedGrant struct {
	generation uint64
	grantedAt  time.Time
	expiry     time.Time
}

// expiryReport is the report of an expired grant whose session is neither fenced nor
// known to have a later generation.
type expiryReport struct {
	generation uint64 // 0 if there is none
	repeatAt   time.Time
	escalateAt time.Time
}

// Witness grants leases to other sessions. Its state is only in memory; a restarted
// process is another incarnation. Handle drives it.
type Witness struct {
	cfg       Config
	self      cluster.Session
	rng       *rand.Rand
	mutations mutations
	sessions  map[cluster.Session]*sessionState
	ordered   []*sessionState // in order of first contact, for reproducible runs
	actions   []Action
}

// NewWitness returns the witness of incarnation self.
func NewWitness(cfg Config, self cluster.Session, rng *rand.Rand) *Witness {
	return &Witness{cfg: cfg, self: self, rng: rng, sessions: map[cluster.Session]*sessionState{}}
}

// Load returns the number of sessions with a valid grant. Holders receive it and
// prefer witnesses below Config.SessionsPerWitness.
func (w *Witness) Load() int {
	n := 0
	for _, s := range w.ordered {
		if len(s.grants) > 0 {
			n++
		}
	}
	return n
}

// Sessions returns the number of sessions of which the witness keeps state.
func (w *Witness) Sessions() int { return len(w.ordered) }

// Handle applies an event and returns the actions for the caller. The next call reuses
// the returned slice.
func (w *Witness) Handle(now time.Time, event Event) []Action {
	w.actions = w.actions[:0]
	switch e := event.(type) {
	case Renew:
		w.renew(now, e)
	case Seal:
		w.seal(now, e)
	case NotLost:
		w.notLost(now, e)
	case Forget:
		w.forget(e.Session)
	case Tick:
		for _, s := range w.ordered {
			w.expire(now, s)
			w.repeatReport(now, s)
		}
	}
	return w.actions
}

func (w *Witness) getOrCreate(session cluster.Session) *sessionState {
	s := w.sessions[session]
	if s == nil {
		s = &sessionState{session: session}
		w.sessions[session] = s
		w.ordered = append(w.ordered, s)
	}
	return s
}

func (w *Witness) forget(session cluster.Session) {
	if s := w.sessions[session]; s != nil {
		delete(w.sessions, session)
		w.ordered = slices.DeleteFunc(w.ordered, func(o *sessionState) bool { return o == s })
	}
}

// accepts reports whether a request is addressed to this incarnation.
func (w *Witness) accepts(addressed cluster.Session) bool {
	return addressed == w.self || w.mutations.acceptOldIncarnation
}

func (w *Witness) renew(now time.Time, m Renew) {
	refused := Refused{Session: m.Session, Witness: m.Witness, Generation: m.Generation, Sequence: m.Sequence}
	if !w.accepts(m.Witness) {
		refused.Reason = RefusedIncarnation
		w.emit(SendRefused{refused})
		return
	}
	s := w.getOrCreate(m.Session)
	w.expire(now, s)
	if m.Generation <= s.sealed && !w.mutations.grantAfterSeal {
		refused.Reason, refused.SealedUpTo = RefusedSealed, s.sealed
		w.emit(SendRefused{refused})
		return
	}
	s.rank = m.Rank
	s.confirm(m.Confirmed)
	s.grant(m.Generation, now, w.grantDuration())
	w.emit(SendGranted{Granted{Session: m.Session, Witness: m.Witness, Generation: m.Generation,
		Sequence: m.Sequence, Load: uint32(w.Load())}})
}

// grantDuration returns how long the witness keeps a grant by its own clock.
func (w *Witness) grantDuration() time.Duration {
	if w.mutations.noClockMargin {
		return w.cfg.holderGrantDuration()
	}
	return w.cfg.witnessGrantDuration()
}

// seal answers a takeover. It declines while the session renews regularly, because one
// witness that lost contact must not end a lease that the others grant.
func (w *Witness) seal(now time.Time, m Seal) {
	response := Sealed{Session: m.Session, Witness: m.Witness, Generation: m.Generation}
	if !w.accepts(m.Witness) {
		response.Status = SealIncarnation
		w.emit(SendSealed{response})
		return
	}
	s := w.getOrCreate(m.Session)
	w.expire(now, s)
	response.Status = SealDone
	for _, g := range s.grants {
		if g.generation > m.Generation {
			continue
		}
		response.Remaining = max(response.Remaining, g.expiry.Sub(now))
		if s.sealed < m.Generation && now.Sub(g.grantedAt) < w.cfg.FreshFor {
			response.Status = SealDeclined
		}
	}
	if response.Status == SealDone {
		s.sealed = max(s.sealed, m.Generation)
	} else {
		response.Remaining = 0
	}
	w.emit(SendSealed{response})
}

// expire drops expired grants, seals their generations and reports the session.
func (w *Witness) expire(now time.Time, s *sessionState) {
	var expired uint64
	s.grants = slices.DeleteFunc(s.grants, func(g issuedGrant) bool {
		if now.Before(g.expiry) {
			return false
		}
		expired = max(expired, g.generation)
		return true
	})
	// A valid grant of an earlier generation means that the expired one is a proposal
	// that the holder abandoned. Sealing it would also seal the valid one.
	earlier := func(g issuedGrant) bool { return g.generation < expired }
	if expired == 0 || slices.ContainsFunc(s.grants, earlier) {
		return
	}
	s.sealed = max(s.sealed, expired)
	if expired >= s.confirmed && expired > s.report.generation {
		s.report = expiryReport{generation: expired, repeatAt: now, escalateAt: w.nextEscalation(now, s)}
	}
}

// nextEscalation returns when to take the planner row. The rank and a random delay
// keep the witnesses from competing for it.
func (w *Witness) nextEscalation(now time.Time, s *sessionState) time.Time {
	jitter := time.Duration(w.rng.Int64N(int64(w.cfg.RankDelay)))
	return now.Add(w.cfg.EscalateAfter + time.Duration(s.rank)*w.cfg.RankDelay + jitter)
}

// repeatReport reports an expired grant, and escalates, as long as the report is open.
func (w *Witness) repeatReport(now time.Time, s *sessionState) {
	if s.report.generation == 0 {
		return
	}
	e := Expired{Session: s.session, Witness: w.self, Generation: s.report.generation}
	if !now.Before(s.report.repeatAt) {
		s.report.repeatAt = now.Add(w.cfg.EscalateAfter)
		w.emit(ReportExpired{e})
	}
	if !now.Before(s.report.escalateAt) {
		s.report.escalateAt = w.nextEscalation(now, s)
		w.emit(TakePlanner{e})
	}
}

// notLost closes the report of an earlier generation. If the session is still at the
// reported generation, it is alive without this witness; the report is repeated later
// in case the holder does not replace the witness.
func (w *Witness) notLost(now time.Time, e NotLost) {
	s := w.sessions[e.Session]
	if s == nil {
		return
	}
	s.confirm(e.Generation)
	if s.report.generation != 0 {
		s.report.repeatAt = now.Add(w.cfg.GrantDuration)
		s.report.escalateAt = w.nextEscalation(s.report.repeatAt, s)
	}
	if len(s.grants) == 0 && s.sealed < s.confirmed {
		w.forget(e.Session)
	}
}

// confirm drops the state of generations before the committed one.
func (s *sessionState) confirm(generation uint64) {
	if generation <= s.confirmed {
		return
	}
	s.confirmed = generation
	s.grants = slices.DeleteFunc(s.grants, func(g issuedGrant) bool { return g.generation < generation })
	if s.report.generation < generation {
		s.report = expiryReport{}
	}
}

func (s *sessionState) grant(generation uint64, now time.Time, d time.Duration) {
	for i := range s.grants {
		if s.grants[i].generation == generation {
			s.grants[i].grantedAt, s.grants[i].expiry = now, now.Add(d)
			return
		}
	}
	s.grants = append(s.grants, issuedGrant{generation: generation, grantedAt: now, expiry: now.Add(d)})
}

func (w *Witness) emit(a Action) { w.actions = append(w.actions, a) }
