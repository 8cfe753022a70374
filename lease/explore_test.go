package lease

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/metastore"
)

// The exploration runs one holder, three witnesses and one takeover through all
// interleavings of these steps: time passes by one unit, the holder or the takeover
// ticks, a message in flight arrives (or never does), the table applies a commit, an
// answer of the table arrives, a witness restarts. A grant lasts exploreGrant units.
const (
	exploreUnit  = time.Second
	exploreGrant = 2 * exploreUnit
	// exploreStep is a little longer than a unit, so that a step passes the rounding
	// of remaining times.
	exploreStep     = exploreUnit + time.Microsecond
	exploreInFlight = 4 // further messages are lost
)

type exploreMessage struct {
	to    int // 0..2: witness, 3: holder, 4: takeover
	event Event
}

// world is one state. Its clocks all show true time.
type world struct {
	now       time.Time
	holder    *Holder
	witnesses [3]*Witness
	takeover  *Takeover
	messages  []exploreMessage
	row       metastore.Row
	commits   []exploreCommit // asked for, not yet applied
	restarted bool
	exploring bool // messages beyond exploreInFlight are lost
}

type exploreCommit struct {
	fence   bool
	attempt uint64
	txn     metastore.Txn
}

func exploreSession(name string) cluster.Session {
	return cluster.Session{Instance: name, Incarnation: 1}
}

// newWorld returns a world in which the holder has renewed with all its witnesses at
// time zero.
func newWorld(b breaks) *world {
	cfg := DefaultConfig()
	cfg.GrantDuration, cfg.RenewInterval, cfg.RetryInterval = exploreGrant, exploreUnit, exploreUnit
	cfg.ClockError, cfg.FreshFor, cfg.ReplaceSpread = 0, 0, 1
	w := &world{now: simEpoch}
	rng := rand.New(rand.NewPCG(1, 1))
	self := exploreSession("h")
	w.holder = NewHolder(cfg, self, rng)
	w.holder.breaks = b
	members := Members{Self: cluster.Member{Session: self}}
	for i, name := range []string{"a", "b", "c"} {
		w.witnesses[i] = NewWitness(cfg, exploreSession(name), rng)
		w.witnesses[i].breaks = b
		members.Members = append(members.Members, cluster.Member{Session: exploreSession(name)})
	}
	w.act(w.holder.Handle(w.now, members))
	w.act(w.holder.Handle(w.now, Tick{}))
	for w.settle() {
	}
	w.takeover = NewTakeover(cfg, self, cluster.Session{})
	w.takeover.breaks = b
	return w
}

// newSealedWorld returns a world in which two witnesses have sealed, the takeover
// waits out their grants, and the holder's next renewals are in flight.
func newSealedWorld(b breaks) *world {
	w := newWorld(b)
	w.now = w.now.Add(exploreStep)
	w.sealTwo()
	w.act(w.holder.Handle(w.now, Tick{}))
	return w
}

// newChangingWorld returns a world in which a witness has restarted and the commit of
// a set with its new incarnation is delayed, its answer unknown. Two witnesses have
// sealed the old set, and the new one has renewed since.
func newChangingWorld(b breaks) *world {
	w := newWorld(b)
	w.restart()
	w.now = w.now.Add(exploreStep)
	w.act(w.holder.Handle(w.now, Tick{}))
	for len(w.messages) > 0 {
		w.deliver(0)
	}
	w.delay(0)
	w.now = w.now.Add(exploreStep)
	w.sealTwo()
	w.act(w.holder.Handle(w.now, Tick{}))
	for len(w.messages) > 0 {
		w.deliver(0)
	}
	return w
}

// sealTwo lets the takeover collect the seals of the last two witnesses.
func (w *world) sealTwo() {
	w.act(w.takeover.Handle(w.now, Tick{}))
	for len(w.messages) > 0 {
		if w.messages[0].to == 0 {
			w.messages = w.messages[1:]
			continue
		}
		w.deliver(0)
	}
}

// settle lets everything that is in flight arrive in order.
func (w *world) settle() bool {
	switch {
	case len(w.commits) > 0:
		w.applyCommit(0)
	case len(w.messages) > 0:
		w.deliver(0)
	default:
		return false
	}
	return true
}

func (w *world) send(to int, e Event) {
	if !w.exploring || len(w.messages) < exploreInFlight {
		w.messages = append(w.messages, exploreMessage{to, e})
	}
}

func (w *world) witness(s cluster.Session) int { return int(s.Instance[0] - 'a') }

func (w *world) act(actions []Action) {
	for _, action := range slices.Clone(actions) {
		switch a := action.(type) {
		case SendRenew:
			w.send(w.witness(a.Renew.Witness), a.Renew)
		case SendSeal:
			w.send(w.witness(a.Seal.Witness), a.Seal)
		case SendGranted:
			w.send(3, a.Granted)
		case SendRefused:
			w.send(3, a.Refused)
		case SendSealed:
			w.send(4, a.Sealed)
		case CommitRow:
			w.commits = append(w.commits, exploreCommit{attempt: a.Attempt, txn: a.Txn})
		case CommitFence:
			w.commits = append(w.commits, exploreCommit{fence: true, attempt: a.Attempt, txn: metastore.Txn{
				Conditions: a.Conditions, Writes: a.Writes}})
		case ReadRow: // reads are immediate
			w.act(w.holder.Handle(w.now, RowRead{Attempt: a.Attempt, Outcome: OutcomeApplied, Session: w.row}))
		case ReadLostRow:
			w.act(w.takeover.Handle(w.now, RowRead{Attempt: a.Attempt, Outcome: OutcomeApplied, Session: w.row}))
		}
	}
}

func (w *world) deliver(i int) {
	m := w.messages[i]
	w.messages = slices.Delete(w.messages, i, i+1)
	switch m.to {
	case 3:
		w.act(w.holder.Handle(w.now, m.event))
	case 4:
		w.act(w.takeover.Handle(w.now, m.event))
	default:
		w.act(w.witnesses[m.to].Handle(w.now, m.event))
	}
}

func (w *world) applyCommit(i int) { w.finishCommit(i, false) }

// finishCommit applies a commit and answers it, or loses the answer.
func (w *world) finishCommit(i int, lost bool) {
	c := w.commits[i]
	w.commits = slices.Delete(w.commits, i, i+1)
	outcome := OutcomeConflict
	if len(c.txn.Conditions) == 0 || c.txn.Conditions[0].Version == w.row.Version {
		outcome = OutcomeApplied
		w.row = metastore.Row{Key: c.txn.Writes[0].Key, Value: c.txn.Writes[0].Value, Version: w.row.Version + 1}
	}
	if lost {
		outcome = OutcomeUnknown
	}
	if c.fence {
		w.act(w.takeover.Handle(w.now, Committed{c.attempt, outcome}))
	} else {
		w.act(w.holder.Handle(w.now, Committed{c.attempt, outcome}))
	}
}

// delay answers a commit with an unknown outcome and keeps it in flight.
func (w *world) delay(i int) {
	w.act(w.holder.Handle(w.now, Committed{w.commits[i].attempt, OutcomeUnknown}))
}

// steps returns all successors.
func (w *world) steps() []*world {
	var out []*world
	add := func(f func(*world)) {
		c := w.clone()
		f(c)
		out = append(out, c)
	}
	add(func(c *world) { c.now = c.now.Add(exploreStep) })
	add(func(c *world) { c.act(c.holder.Handle(c.now, Tick{})) })
	add(func(c *world) { c.act(c.takeover.Handle(c.now, Tick{})) })
	for i := range w.messages {
		add(func(c *world) { c.deliver(i) })
	}
	for i, commit := range w.commits {
		add(func(c *world) { c.applyCommit(i) })
		if !commit.fence {
			add(func(c *world) { c.finishCommit(i, true) })
			add(func(c *world) { c.delay(i) })
		}
	}
	if !w.restarted {
		add((*world).restart)
	}
	return out
}

// restart replaces the first witness by a new incarnation, of which the holder hears.
func (w *world) restart() {
	w.restarted = true
	old := w.witnesses[0]
	self := old.self
	self.Incarnation++
	w.witnesses[0] = NewWitness(old.cfg, self, old.rng)
	w.witnesses[0].breaks = old.breaks
	members := w.holder.members
	members.Members = slices.Clone(members.Members)
	members.Members[0].Session = self
	w.act(w.holder.Handle(w.now, members))
}

// unsafe reports a violation of the invariant.
func (w *world) unsafe() bool {
	row, err := DecodeSessionRow(w.row)
	return err == nil && row.State == RowFenced && w.holder.Valid(w.now)
}

// explore visits all states within depth steps of first. It returns their number and
// whether one is unsafe.
func explore(first *world, depth int) (int, bool) {
	first.exploring = true
	seen := map[uint64]bool{first.hash(): true}
	level := []*world{first}
	for range depth {
		var next []*world
		for _, w := range level {
			for _, c := range w.steps() {
				if c.unsafe() {
					return len(seen), true
				}
				if h := c.hash(); !seen[h] {
					seen[h] = true
					next = append(next, c)
				}
			}
		}
		level = next
	}
	return len(seen), false
}

// Guards against an order of steps that random schedules miss.
func TestExploreAllInterleavings(t *testing.T) {
	for _, x := range []struct {
		name  string
		first func(breaks) *world
		depth int
		b     breaks
	}{
		{"settled lease", newWorld, 8, breaks{skipRemaining: true}},
		{"two seals", newSealedWorld, 8, breaks{grantAfterSeal: true}},
		{"open change", newChangingWorld, 9, breaks{singleValidity: true}},
	} {
		t.Run(x.name, func(t *testing.T) {
			states, bad := explore(x.first(breaks{}), x.depth)
			t.Logf("%d states within %d steps", states, x.depth)
			if bad {
				t.Error("a fenced holder is valid")
			}
			if _, bad := explore(x.first(x.b), x.depth); !bad {
				t.Errorf("%+v is not noticed", x.b)
			}
		})
	}
}
