package lease

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/basilway/basilway/cluster"
)

// served is what a witness knows about one session.
type served struct {
	session cluster.Session
	grants  []given // of generations whose grant has not expired
	// sealed is the highest generation that is never granted again.
	sealed uint64
	// confirmed is the highest generation that is known to be committed.
	confirmed uint64
	rank      uint8
	report    report
}

// given is the last grant of one generation.
type given struct {
	generation uint64
	at         time.Time
	expiry     time.Time
}

// report is an expiry that is not settled.
type report struct {
	generation uint64 // 0 if there is none
	repeatAt   time.Time
	escalateAt time.Time
}

// Witness grants leases to other sessions. Its state is lost with its process, and
// a restarted process is another incarnation. Handle drives it.
type Witness struct {
	cfg      Config
	self     cluster.Session
	rng      *rand.Rand
	breaks   breaks
	sessions map[cluster.Session]*served
	ordered  []*served // in order of first contact, so that runs can be repeated
	actions  []Action
}

// NewWitness returns the witness of incarnation self.
func NewWitness(cfg Config, self cluster.Session, rng *rand.Rand) *Witness {
	return &Witness{cfg: cfg, self: self, rng: rng, sessions: map[cluster.Session]*served{}}
}

// Load returns the number of sessions with a valid grant. It is reported to holders,
// which choose witnesses below Config.SessionsPerWitness first.
func (w *Witness) Load() int {
	n := 0
	for _, s := range w.ordered {
		if len(s.grants) > 0 {
			n++
		}
	}
	return n
}

// Sessions returns the number of sessions that the witness remembers.
func (w *Witness) Sessions() int { return len(w.ordered) }

// Handle applies an event and returns what the caller has to do. The returned slice
// is reused by the next call.
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
			w.repeat(now, s)
		}
	}
	return w.actions
}

func (w *Witness) get(session cluster.Session) *served {
	s := w.sessions[session]
	if s == nil {
		s = &served{session: session}
		w.sessions[session] = s
		w.ordered = append(w.ordered, s)
	}
	return s
}

func (w *Witness) forget(session cluster.Session) {
	if s := w.sessions[session]; s != nil {
		delete(w.sessions, session)
		w.ordered = slices.DeleteFunc(w.ordered, func(o *served) bool { return o == s })
	}
}

// accepts reports whether a request is addressed to this incarnation.
func (w *Witness) accepts(addressed cluster.Session) bool {
	return addressed == w.self || w.breaks.countRestarted
}

func (w *Witness) renew(now time.Time, m Renew) {
	refused := Refused{Session: m.Session, Witness: m.Witness, Generation: m.Generation, Sequence: m.Sequence}
	if !w.accepts(m.Witness) {
		refused.Reason = RefusedIncarnation
		w.do(SendRefused{refused})
		return
	}
	s := w.get(m.Session)
	w.expire(now, s)
	if m.Generation <= s.sealed && !w.breaks.grantAfterSeal {
		refused.Reason, refused.SealedUpTo = RefusedSealed, s.sealed
		w.do(SendRefused{refused})
		return
	}
	s.rank = m.Rank
	s.confirm(m.Confirmed)
	s.grant(m.Generation, now, w.lasts())
	w.do(SendGranted{Granted{Session: m.Session, Witness: m.Witness, Generation: m.Generation,
		Sequence: m.Sequence, Load: uint32(w.Load())}})
}

// lasts returns how long the witness keeps to a grant.
func (w *Witness) lasts() time.Duration {
	if w.breaks.noClockMargin {
		return w.cfg.holderGrant()
	}
	return w.cfg.witnessGrant()
}

// seal answers a takeover. It declines while the session renews regularly: one
// witness without contact must not end a lease that the others grant.
func (w *Witness) seal(now time.Time, m Seal) {
	answer := Sealed{Session: m.Session, Witness: m.Witness, Generation: m.Generation}
	if !w.accepts(m.Witness) {
		answer.Status = SealIncarnation
		w.do(SendSealed{answer})
		return
	}
	s := w.get(m.Session)
	w.expire(now, s)
	answer.Status = SealDone
	for _, g := range s.grants {
		if g.generation > m.Generation {
			continue
		}
		answer.Remaining = max(answer.Remaining, g.expiry.Sub(now))
		if s.sealed < m.Generation && now.Sub(g.at) < w.cfg.FreshFor {
			answer.Status = SealDeclined
		}
	}
	if answer.Status == SealDone {
		s.sealed = max(s.sealed, m.Generation)
	} else {
		answer.Remaining = 0
	}
	w.do(SendSealed{answer})
}

// expire drops expired grants, seals their generations and reports the session.
func (w *Witness) expire(now time.Time, s *served) {
	var expired uint64
	s.grants = slices.DeleteFunc(s.grants, func(g given) bool {
		if now.Before(g.expiry) {
			return false
		}
		expired = max(expired, g.generation)
		return true
	})
	// A live grant of an earlier generation means that the expired one is a proposal
	// that the holder gave up. Sealing it would seal the live one as well.
	earlier := func(g given) bool { return g.generation < expired }
	if expired == 0 || slices.ContainsFunc(s.grants, earlier) {
		return
	}
	s.sealed = max(s.sealed, expired)
	if expired >= s.confirmed && expired > s.report.generation {
		s.report = report{generation: expired, repeatAt: now, escalateAt: w.escalation(now, s)}
	}
}

// escalation returns when to take the planner row. Ranks and a random delay keep
// the witnesses from competing for it.
func (w *Witness) escalation(now time.Time, s *served) time.Time {
	jitter := time.Duration(w.rng.Int64N(int64(w.cfg.RankDelay)))
	return now.Add(w.cfg.EscalateAfter + time.Duration(s.rank)*w.cfg.RankDelay + jitter)
}

// repeat reports an expiry until it is settled.
func (w *Witness) repeat(now time.Time, s *served) {
	if s.report.generation == 0 {
		return
	}
	e := Expired{Session: s.session, Witness: w.self, Generation: s.report.generation}
	if !now.Before(s.report.repeatAt) {
		s.report.repeatAt = now.Add(w.cfg.EscalateAfter)
		w.do(ReportExpired{e})
	}
	if !now.Before(s.report.escalateAt) {
		s.report.escalateAt = w.escalation(now, s)
		w.do(TakePlanner{e})
	}
}

// notLost settles a report. At the reported generation the session is alive without
// this witness; the report is repeated later in case its holder does not replace it.
func (w *Witness) notLost(now time.Time, e NotLost) {
	s := w.sessions[e.Session]
	if s == nil {
		return
	}
	s.confirm(e.Generation)
	if s.report.generation != 0 {
		s.report.repeatAt = now.Add(w.cfg.GrantDuration)
		s.report.escalateAt = w.escalation(s.report.repeatAt, s)
	}
	if len(s.grants) == 0 && s.sealed < s.confirmed {
		w.forget(e.Session)
	}
}

// confirm drops what is known about generations before the committed one.
func (s *served) confirm(generation uint64) {
	if generation <= s.confirmed {
		return
	}
	s.confirmed = generation
	s.grants = slices.DeleteFunc(s.grants, func(g given) bool { return g.generation < generation })
	if s.report.generation < generation {
		s.report = report{}
	}
}

func (s *served) grant(generation uint64, now time.Time, d time.Duration) {
	for i := range s.grants {
		if s.grants[i].generation == generation {
			s.grants[i].at, s.grants[i].expiry = now, now.Add(d)
			return
		}
	}
	s.grants = append(s.grants, given{generation: generation, at: now, expiry: now.Add(d)})
}

func (w *Witness) do(a Action) { w.actions = append(w.actions, a) }
