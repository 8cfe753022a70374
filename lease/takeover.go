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

// seal is what a takeover knows about one witness of the row. The store, if it is
// a witness, is the last one.
type seal struct {
	done     bool
	until    time.Time // by when the witness's last grant has ended; counts if done
	gone     bool
	declined bool // in this round
}

// Takeover fences one lost session. Handle drives it.
type Takeover struct {
	cfg      Config
	session  cluster.Session
	reporter cluster.Session
	breaks   breaks

	phase     takeoverPhase
	reading   bool
	confirmed bool // by an operator
	asked     bool // NeedOperator was returned
	set       Set
	version   uint64
	renewal   Since
	renewed   uint64 // renewal version of the previous read
	seals     []seal
	attempt   uint64
	retryAt   time.Time
	rereadAt  time.Time
	actions   []Action
}

// NewTakeover returns the takeover of session. reporter is the witness that reported
// it; it is zero if an operator asks for the fence.
func NewTakeover(cfg Config, session, reporter cluster.Session) *Takeover {
	return &Takeover{cfg: cfg, session: session, reporter: reporter}
}

// Done reports whether the takeover has ended.
func (t *Takeover) Done() bool { return t.phase == takeoverDone }

// Handle applies an event and returns what the caller has to do. The returned slice
// is reused by the next call.
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
		t.confirmed = true
	}
	t.step(now)
	return t.actions
}

func (t *Takeover) step(now time.Time) {
	switch t.phase {
	case takeoverReading:
		t.read(now)
	case takeoverSealing:
		if t.confirmed {
			t.commit(false)
			return
		}
		t.judge(now)
	}
}

func (t *Takeover) read(now time.Time) {
	if t.reading || now.Before(t.retryAt) {
		return
	}
	t.reading = true
	t.attempt++
	t.do(ReadLostRow{Attempt: t.attempt, Session: t.session})
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
		t.set = row.Set
		t.finish(TakeoverFenced)
		return
	}
	if r.Session.Version != t.version {
		t.restart(row.Set, r.Session.Version, r.Renewal.Version)
	}
	if !t.reporter.IsZero() && t.set.index(t.reporter) < 0 {
		t.finish(TakeoverSuperseded)
		return
	}
	t.watchStore(now, r)
	t.phase = takeoverSealing
	t.retryAt = now // ask the witnesses at once
	t.rereadAt = now.Add(t.cfg.GrantDuration)
}

// restart drops what was collected for another version of the row.
func (t *Takeover) restart(set Set, version, renewal uint64) {
	t.set, t.version, t.renewed = set, version, renewal
	t.seals = make([]seal, set.Size())
	t.renewal, t.asked = Since{}, false
}

// watchStore notes since when the renewal row is unchanged. A write of the holder
// that was applied before then is older than the watch; a later one changes the
// version and makes the fence fail.
func (t *Takeover) watchStore(now time.Time, r RowRead) {
	if !t.set.Store {
		return
	}
	s := &t.seals[len(t.seals)-1]
	version := r.Renewal.Version
	if !s.done || t.renewal.Version != version {
		t.renewal = Since{Version: version, At: now}
	}
	if r.RenewalSince.Version == version && r.RenewalSince.At.Before(t.renewal.At) && !r.RenewalSince.At.IsZero() {
		t.renewal.At = r.RenewalSince.At
	}
	s.done = true
	s.until = t.renewal.At.Add(t.cfg.stretch(t.cfg.GrantDuration))
	s.declined = version != t.renewed // the holder writes, so the store grants
	t.renewed = version
}

// sealed counts the answer of a witness that the row names, for its generation. The
// remaining time counts from the arrival, so the way of the answer is waited out too.
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
		s.until = now.Add(t.cfg.stretch(m.Remaining))
		if t.breaks.skipRemaining {
			s.until = now
		}
	case SealDeclined:
		s.declined = true
	case SealIncarnation:
		s.gone = true
	}
}

// judge commits the fence if enough seals have run out, and otherwise asks again.
func (t *Takeover) judge(now time.Time) {
	ran, declined, gone := 0, 0, 0
	for _, s := range t.seals {
		if s.done && !now.Before(s.until) {
			ran++
		}
		if s.declined {
			declined++
		}
		if s.gone {
			gone++
		}
	}
	switch {
	case ran >= t.set.Seals():
		t.commit(t.needsStore(now))
		return
	case declined >= t.set.Quorum():
		t.finish(TakeoverAlive)
		return
	case t.set.Size()-gone < t.set.Seals() && !t.asked:
		t.asked = true
		t.do(NeedOperator{Session: t.session})
	}
	if !now.Before(t.rereadAt) {
		t.phase, t.retryAt = takeoverReading, now
		t.read(now)
		return
	}
	t.ask(now)
}

// needsStore reports whether the peers' seals alone do not suffice.
func (t *Takeover) needsStore(now time.Time) bool {
	peers := 0
	for _, s := range t.seals[:len(t.set.Witnesses)] {
		if s.done && !now.Before(s.until) {
			peers++
		}
	}
	return peers < t.set.Seals()
}

func (t *Takeover) ask(now time.Time) {
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
		t.do(SendSeal{Seal{Session: t.session, Witness: w, Generation: t.set.Generation}})
	}
}

// commit returns the fence. It is conditional on the version of the row whose
// generation was sealed; with the store's seal also on the watched renewal row.
func (t *Takeover) commit(store bool) {
	t.phase = takeoverCommitting
	t.attempt++
	key := SessionKey(t.session)
	fence := CommitFence{Attempt: t.attempt, Session: t.session, Writes: []metastore.Write{
		{Key: key, Value: SessionRow{Set: t.set, State: RowFenced}.Encode()}}}
	if !t.breaks.unconditionalFence {
		fence.Conditions = append(fence.Conditions, metastore.Condition{Key: key, Version: t.version})
	}
	if store {
		fence.Conditions = append(fence.Conditions,
			metastore.Condition{Key: RenewalKey(t.session), Version: t.renewal.Version})
	}
	if t.set.Store {
		fence.Writes = append(fence.Writes, metastore.Write{Key: RenewalKey(t.session), Delete: true})
	}
	t.do(fence)
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
	default: // the row shows the result or what has changed
		t.retryAt = now
	}
	t.phase = takeoverReading
}

func (t *Takeover) finish(result TakeoverResult) {
	t.phase = takeoverDone
	t.do(TakeoverDone{Session: t.session, Result: result, Generation: t.set.Generation})
}

func (t *Takeover) do(a Action) { t.actions = append(t.actions, a) }

// Set returns the witness set of the row that was read last.
func (t *Takeover) Set() Set {
	return Set{t.set.Generation, slices.Clone(t.set.Witnesses), t.set.Store}
}
