package lease

import (
	"slices"
	"time"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/metastore"
)

type takeoverPhase uint8

const (
	takeoverReading takeoverPhase = iota
	takeoverSealing
	takeoverCommitting
	takeoverDone
)

// witnessSeal is the takeover's state of one witness in the session row. If the store
// is a witness, it is the last one.
type witnessSeal struct {
	done     bool
	grantEnd time.Time // when the witness's last grant has certainly ended; set if done
	gone     bool      // the incarnation in the row no longer runs
	declined bool      // in this round
}

// Takeover fences one lost session. Handle drives it.
type Takeover struct {
	cfg       Config
	session   cluster.Session
	reporter  cluster.Session
	mutations mutations

	phase              takeoverPhase
	reading            bool
	operatorConfirmed  bool
	operatorAsked      bool // NeedOperator was returned
	set                WitnessSet
	version            uint64
	renewalSeen        FirstSeen
	lastRenewalVersion uint64 // renewal version of the previous read
	seals              []witnessSeal
	attempt            uint64
	retryAt            time.Time // no read or seal request before this time
	rereadAt           time.Time // when takeoverSealing reads the rows again
	actions            []Action
}

// NewTakeover returns the takeover of session. reporter is the witness that reported
// the session; it is zero if an operator requested the fence.
func NewTakeover(cfg Config, session, reporter cluster.Session) *Takeover {
	return &Takeover{cfg: cfg, session: session, reporter: reporter}
}

// Done reports whether the takeover has ended.
func (t *Takeover) Done() bool { return t.phase == takeoverDone }

// Handle applies an event and returns the actions for the caller. The next call reuses
// the returned slice.
func (t *Takeover) Handle(now time.Time, event Event) []Action {
	t.actions = t.actions[:0]
	if t.phase == takeoverDone {
		return nil
	}
	switch e := event.(type) {
	case RowRead:
		t.rowRead(now, e)
	case Sealed:
		t.sealed(now, e)
	case Committed:
		t.committed(now, e)
	case OperatorConfirmed:
		t.operatorConfirmed = true
	}
	t.step(now)
	return t.actions
}

func (t *Takeover) step(now time.Time) {
	switch t.phase {
	case takeoverReading:
		t.read(now)
	case takeoverSealing:
		if t.operatorConfirmed {
			t.commit(false)
			return
		}
		t.evaluateSeals(now)
	}
}

func (t *Takeover) read(now time.Time) {
	if t.reading || now.Before(t.retryAt) {
		return
	}
	t.reading = true
	t.attempt++
	t.emit(ReadLostRows{Attempt: t.attempt, Session: t.session})
}

func (t *Takeover) rowRead(now time.Time, r RowRead) {
	if !t.reading || r.Attempt != t.attempt {
		return
	}
	t.reading = false
	t.retryAt = now.Add(t.cfg.RetryInterval)
	if r.Outcome != OutcomeApplied {
		return
	}
	if r.Session.Version == 0 {
		t.finish(TakeoverGone)
		return
	}
	row, err := DecodeSessionRow(r.Session)
	if err != nil {
		return // an operator has to repair a corrupt row
	}
	if row.State != RowActive {
		t.set = row.WitnessSet
		t.finish(TakeoverFenced)
		return
	}
	if r.Session.Version != t.version {
		t.resetSeals(row.WitnessSet, r.Session.Version, r.Renewal.Version)
	}
	if !t.reporter.IsZero() && t.set.index(t.reporter) < 0 {
		t.finish(TakeoverSuperseded)
		return
	}
	t.updateStoreSeal(now, r)
	t.phase = takeoverSealing
	t.retryAt = now // ask the witnesses at once
	t.rereadAt = now.Add(t.cfg.GrantDuration)
}

// resetSeals drops the seals that were collected for another version of the row.
func (t *Takeover) resetSeals(set WitnessSet, version, renewal uint64) {
	t.set, t.version, t.lastRenewalVersion = set, version, renewal
	t.seals = make([]witnessSeal, set.Size())
	t.renewalSeen, t.operatorAsked = FirstSeen{}, false
}

// updateStoreSeal updates the store's seal. It takes effect once the renewal row has
// been unchanged for the length of a grant: renewals applied before have expired by
// then, and a later one changes the version of the row and makes the fence fail.
func (t *Takeover) updateStoreSeal(now time.Time, r RowRead) {
	if !t.set.Store {
		return
	}
	s := &t.seals[len(t.seals)-1]
	version := r.Renewal.Version
	if !s.done || t.renewalSeen.Version != version {
		t.renewalSeen = FirstSeen{Version: version, At: now}
	}
	if r.RenewalFirstSeen.Version == version && r.RenewalFirstSeen.At.Before(t.renewalSeen.At) && !r.RenewalFirstSeen.At.IsZero() {
		t.renewalSeen.At = r.RenewalFirstSeen.At
	}
	s.done = true
	s.grantEnd = t.renewalSeen.At.Add(t.cfg.withClockMargin(t.cfg.GrantDuration))
	s.declined = version != t.lastRenewalVersion // the holder still writes renewals
	t.lastRenewalVersion = version
}

// sealed records the response of a witness in the session row for the row's generation.
// The remaining time counts from the arrival of the response, so the network delay can
// only make grantEnd later than needed, never too early.
func (t *Takeover) sealed(now time.Time, m Sealed) {
	if m.Session != t.session || t.phase == takeoverReading || m.Generation != t.set.Generation {
		return
	}
	i := t.set.index(m.Witness)
	if i < 0 || t.seals[i].done {
		return
	}
	s := &t.seals[i]
	switch m.Status {
	case SealDone:
		s.done, s.declined = true, false
		s.grantEnd = now.Add(t.cfg.withClockMargin(m.Remaining))
		if t.mutations.skipRemaining {
			s.grantEnd = now
		}
	case SealDeclined:
		s.declined = true
	case SealIncarnation:
		s.gone = true
	}
}

// evaluateSeals commits the fence if enough seals have taken effect, ends the takeover
// if a quorum of witnesses declined, and otherwise asks again.
func (t *Takeover) evaluateSeals(now time.Time) {
	effective, declined, gone := 0, 0, 0
	for _, s := range t.seals {
		if s.done && !now.Before(s.grantEnd) {
			effective++
		}
		if s.declined {
			declined++
		}
		if s.gone {
			gone++
		}
	}
	switch {
	case effective >= t.set.SealQuorum():
		t.commit(t.needsStoreSeal(now))
		return
	case declined >= t.set.Quorum():
		t.finish(TakeoverAlive)
		return
	case t.set.Size()-gone < t.set.SealQuorum() && !t.operatorAsked:
		t.operatorAsked = true
		t.emit(NeedOperator{Session: t.session})
	}
	if !now.Before(t.rereadAt) {
		t.phase, t.retryAt = takeoverReading, now
		t.read(now)
		return
	}
	t.requestSeals(now)
}

// needsStoreSeal reports whether the fence depends on the store's seal, because the
// seals of the other witnesses are not enough.
func (t *Takeover) needsStoreSeal(now time.Time) bool {
	effective := 0
	for _, s := range t.seals[:len(t.set.Witnesses)] {
		if s.done && !now.Before(s.grantEnd) {
			effective++
		}
	}
	return effective < t.set.SealQuorum()
}

func (t *Takeover) requestSeals(now time.Time) {
	if now.Before(t.retryAt) {
		return
	}
	t.retryAt = now.Add(t.cfg.RetryInterval)
	for i, w := range t.set.Witnesses {
		s := &t.seals[i]
		if s.done || s.gone {
			continue
		}
		s.declined = false
		t.emit(SendSeal{Seal{Session: t.session, Witness: w, Generation: t.set.Generation}})
	}
}

// commit emits the fence. It is conditional on the version of the session row whose
// generation was sealed and, if the store's seal counts, on the version of the renewal
// row.
func (t *Takeover) commit(withStore bool) {
	t.phase = takeoverCommitting
	t.attempt++
	key := SessionKey(t.session)
	fence := CommitFence{Attempt: t.attempt, Session: t.session, Writes: []metastore.Write{
		{Key: key, Value: SessionRow{WitnessSet: t.set, State: RowFenced}.Encode()}}}
	if !t.mutations.unconditionalFence {
		fence.Conditions = append(fence.Conditions, metastore.Condition{Key: key, Version: t.version})
	}
	if withStore {
		fence.Conditions = append(fence.Conditions,
			metastore.Condition{Key: RenewalKey(t.session), Version: t.renewalSeen.Version})
	}
	if t.set.Store {
		fence.Writes = append(fence.Writes, metastore.Write{Key: RenewalKey(t.session), Delete: true})
	}
	t.emit(fence)
}

func (t *Takeover) committed(now time.Time, r Committed) {
	if t.phase != takeoverCommitting || r.Attempt != t.attempt {
		return
	}
	switch r.Outcome {
	case OutcomeApplied:
		t.finish(TakeoverFenced)
		return
	case OutcomeNotApplied:
		t.retryAt = now.Add(t.cfg.RetryInterval)
	default: // conflict or unknown outcome: read the row at once
		t.retryAt = now
	}
	t.phase = takeoverReading
}

func (t *Takeover) finish(result TakeoverResult) {
	t.phase = takeoverDone
	t.emit(TakeoverDone{Session: t.session, Result: result, Generation: t.set.Generation})
}

func (t *Takeover) emit(a Action) { t.actions = append(t.actions, a) }

// WitnessSet returns the witness set of the last session row that was read.
func (t *Takeover) WitnessSet() WitnessSet {
	return WitnessSet{t.set.Generation, slices.Clone(t.set.Witnesses), t.set.Store}
}
