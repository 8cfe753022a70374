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
// interleavings of these steps: one unit of time passes, the holder or the takeover
// ticks, a message in flight arrives (or never does), the store applies a commit, a
// response of the store arrives, a witness restarts. A grant lasts exploreGrant.
const (
	exploreUnit  = time.Second
	exploreGrant = 2 * exploreUnit
	// exploreStep is slightly longer than a unit, because remaining times are rounded
	// up.
	exploreStep        = exploreUnit + time.Microsecond
	exploreMaxMessages = 4 // in flight; further messages are lost
)

type exploreMessage struct {
	to    int // 0..2: witness, 3: holder, 4: takeover
	event Event
}

// world is one state of the exploration. All clocks show true time.
type world struct {
	now       time.Time
	holder    *Holder
	witnesses [3]*Witness
	takeover  *Takeover
	messages  []exploreMessage
	row       metastore.Row
	commits   []exploreCommit // in flight, not yet applied
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

// newWorld returns a world in which the holder has a committed set and, as of
// simEpoch, grants of all witnesses.
func newWorld(mut mutations) *world {
	cfg := DefaultConfig()
	cfg.GrantDuration, cfg.RenewInterval, cfg.RetryInterval = exploreGrant, exploreUnit, exploreUnit
	cfg.ClockError, cfg.FreshFor, cfg.ReplaceSpread = 0, 0, 1
	w := &world{now: simEpoch}
	rng := rand.New(rand.NewPCG(1, 1))
	self := exploreSession("h")
	w.holder = NewHolder(cfg, self, rng)
	w.holder.mutations = mut
	members := Members{Self: cluster.Member{Session: self}}
	for i, name := range []string{"a", "b", "c"} {
		w.witnesses[i] = NewWitness(cfg, exploreSession(name), rng)
		w.witnesses[i].mutations = mut
		members.Members = append(members.Members, cluster.Member{Session: exploreSession(name)})
	}
	w.perform(w.holder.Handle(w.now, members))
	w.perform(w.holder.Handle(w.now, Tick{}))
	for w.deliverNext() {
	}
	w.takeover = NewTakeover(cfg, self, cluster.Session{})
	w.takeover.mutations = mut
	return w
}

// newSealedWorld returns a world in which two witnesses have sealed, the takeover
// waits for their grants to run out, and the holder's next renewals are in flight.
func newSealedWorld(mut mutations) *world {
	w := newWorld(mut)
	w.now = w.now.Add(exploreStep)
	w.sealTwo()
	w.perform(w.holder.Handle(w.now, Tick{}))
	return w
}

// newChangingWorld returns a world in which a witness has restarted and the commit of
// a set with its new incarnation has an unknown outcome and is still in flight. Two
// witnesses have sealed the old set, and the new set was renewed since.
func newChangingWorld(mut mutations) *world {
	w := newWorld(mut)
	w.restart()
	w.now = w.now.Add(exploreStep)
	w.perform(w.holder.Handle(w.now, Tick{}))
	for len(w.messages) > 0 {
		w.deliver(0)
	}
	w.delay(0)
	w.now = w.now.Add(exploreStep)
	w.sealTwo()
	w.perform(w.holder.Handle(w.now, Tick{}))
	for len(w.messages) > 0 {
		w.deliver(0)
	}
	return w
}

// sealTwo lets the takeover collect the seals of the last two witnesses.
func (w *world) sealTwo() {
	w.perform(w.takeover.Handle(w.now, Tick{}))
	for len(w.messages) > 0 {
		if w.messages[0].to == 0 {
			w.messages = w.messages[1:]
			continue
		}
		w.deliver(0)
	}
}

// deliverNext applies the first commit or delivers the first message in flight. It
// reports whether there was one.
func (w *world) deliverNext() bool {
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
	if !w.exploring || len(w.messages) < exploreMaxMessages {
		w.messages = append(w.messages, exploreMessage{to, e})
	}
}

func (w *world) witness(s cluster.Session) int { return int(s.Instance[0] - 'a') }

func (w *world) perform(actions []Action) {
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
			w.perform(w.holder.Handle(w.now, RowRead{Attempt: a.Attempt, Outcome: OutcomeApplied, Session: w.row}))
		case ReadLostRows:
			w.perform(w.takeover.Handle(w.now, RowRead{Attempt: a.Attempt, Outcome: OutcomeApplied, Session: w.row}))
		}
	}
}

func (w *world) deliver(i int) {
	m := w.messages[i]
	w.messages = slices.Delete(w.messages, i, i+1)
	switch m.to {
	case 3:
		w.perform(w.holder.Handle(w.now, m.event))
	case 4:
		w.perform(w.takeover.Handle(w.now, m.event))
	default:
		w.perform(w.witnesses[m.to].Handle(w.now, m.event))
	}
}

func (w *world) applyCommit(i int) { w.finishCommit(i, false) }

// finishCommit applies a commit and answers it. If lost, the outcome is unknown to the
// sender.
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
		w.perform(w.takeover.Handle(w.now, Committed{c.attempt, outcome}))
	} else {
		w.perform(w.holder.Handle(w.now, Committed{c.attempt, outcome}))
	}
}

// delay answers a commit with an unknown outcome and keeps it in flight.
func (w *world) delay(i int) {
	w.perform(w.holder.Handle(w.now, Committed{w.commits[i].attempt, OutcomeUnknown}))
}

// successors returns the states after each possible step.
func (w *world) successors() []*world {
	var out []*world
	add := func(f func(*world)) {
		c := w.clone()
		f(c)
		out = append(out, c)
	}
	add(func(c *world) { c.now = c.now.Add(exploreStep) })
	add(func(c *world) { c.perform(c.holder.Handle(c.now, Tick{})) })
	add(func(c *world) { c.perform(c.takeover.Handle(c.now, Tick{})) })
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

// restart replaces the first witness by a new incarnation and tells the holder.
func (w *world) restart() {
	w.restarted = true
	old := w.witnesses[0]
	self := old.self
	self.Incarnation++
	w.witnesses[0] = NewWitness(old.cfg, self, old.rng)
	w.witnesses[0].mutations = old.mutations
	members := w.holder.members
	members.Members = slices.Clone(members.Members)
	members.Members[0].Session = self
	w.perform(w.holder.Handle(w.now, members))
}

// unsafe reports whether the session is fenced although its holder has a valid lease.
func (w *world) unsafe() bool {
	row, err := DecodeSessionRow(w.row)
	return err == nil && row.State == RowFenced && w.holder.Valid(w.now)
}

// explore visits all states within depth steps of initial until one is unsafe. It
// returns the number of states visited and whether one is unsafe.
func explore(initial *world, depth int) (int, bool) {
	initial.exploring = true
	seen := map[uint64]bool{initial.hash(): true}
	level := []*world{initial}
	for range depth {
		var next []*world
		for _, w := range level {
			for _, c := range w.successors() {
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

// Guards against unsafe interleavings that random schedules miss.
func TestExploreAllInterleavings(t *testing.T) {
	for _, x := range []struct {
		name    string
		initial func(mutations) *world
		depth   int
		mut     mutations
	}{
		{"settled lease", newWorld, 8, mutations{skipRemaining: true}},
		{"two seals", newSealedWorld, 8, mutations{grantAfterSeal: true}},
		{"unresolved change", newChangingWorld, 9, mutations{newSetOnly: true}},
	} {
		t.Run(x.name, func(t *testing.T) {
			states, unsafe := explore(x.initial(mutations{}), x.depth)
			t.Logf("%d states within %d steps", states, x.depth)
			if unsafe {
				t.Error("a fenced holder has a valid lease")
			}
			if _, unsafe := explore(x.initial(x.mut), x.depth); !unsafe {
				t.Errorf("%+v is not detected", x.mut)
			}
		})
	}
}
