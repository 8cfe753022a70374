package lease

import (
	"fmt"
	"slices"
	"time"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/metastore"
)

// simNode is one daemon: its clock, its state machines and its faults.
type simNode struct {
	sim         *sim
	index       int
	rate        float64
	offset      time.Duration
	starts      int // number of starts and kills; events of an earlier process are dropped
	dead        bool
	pausedUntil time.Duration
	inbox       []func()

	session     cluster.Session
	self        cluster.Member
	holder      *Holder
	witness     *Witness
	watch       *RenewalWatch
	takeovers   []*Takeover
	members     []cluster.Member
	feedVersion int
}

func (n *simNode) clock() time.Time {
	return simEpoch.Add(n.offset + time.Duration(float64(n.sim.now)*n.rate))
}

// do runs f now or, during a pause, at its end in the order of the calls. A killed node
// drops f.
func (n *simNode) do(f func()) {
	switch {
	case n.dead:
	case n.sim.now < n.pausedUntil:
		n.inbox = append(n.inbox, f)
	default:
		f()
	}
}

func (n *simNode) pause(d time.Duration) {
	if n.pausedUntil > n.sim.now {
		return
	}
	n.pausedUntil = n.sim.now + d
	starts := n.starts
	n.sim.after(d, func() {
		for len(n.inbox) > 0 && n.starts == starts && !n.dead {
			f := n.inbox[0]
			n.inbox = n.inbox[1:]
			f()
		}
	})
}

func (n *simNode) kill() { n.dead, n.inbox, n.pausedUntil = true, nil, 0; n.starts++ }

// start begins a new session and joins it to the cluster.
func (n *simNode) start() {
	s := n.sim
	n.kill()
	n.dead = false
	n.session = cluster.Session{Instance: fmt.Sprintf("n%d", n.index), Incarnation: s.rng.Uint64()}
	n.self = cluster.Member{Session: n.session, Zone: fmt.Sprintf("r/z%d", n.index%3),
		JoinedAt: uint64(len(s.members) + s.seq)}
	n.holder = NewHolder(s.cfg, n.session, s.rng)
	n.witness = NewWitness(s.cfg, n.session, s.rng)
	n.watch, n.takeovers = NewRenewalWatch(), nil
	n.holder.mutations, n.witness.mutations = s.mutations, s.mutations
	s.members = append(s.members, n.self)
	n.members = slices.Clone(s.members)
	n.perform(n.holder.Handle(n.clock(), Members{Self: n.self, Members: n.members}))
	s.publishMembers(cluster.Session{})
	n.every(s.tick, n.tick)
	n.every(s.cfg.WatchInterval, n.watchRenewals)
}

// every repeats f by the node's own clock until the node stops.
func (n *simNode) every(d time.Duration, f func()) {
	starts := n.starts
	d = time.Duration(float64(d) / n.rate)
	var again func()
	again = func() {
		if n.starts != starts {
			return
		}
		if n.sim.now >= n.pausedUntil {
			f()
		}
		n.sim.after(d, again)
	}
	n.sim.after(n.sim.duration(d), again)
}

func (n *simNode) tick() {
	n.perform(n.holder.Handle(n.clock(), Tick{}))
	n.perform(n.witness.Handle(n.clock(), Tick{}))
	for _, t := range slices.Clone(n.takeovers) {
		n.performTakeover(t, t.Handle(n.clock(), Tick{}))
	}
	if n.holder.Stopped() {
		n.start() // the node rejoins as a new session
	}
}

// watchRenewals reads the renewal rows of the other members in small clusters.
func (n *simNode) watchRenewals() {
	if len(n.members) > MaxWitnesses+1 {
		return
	}
	for _, m := range n.members {
		if m.Session == n.session {
			continue
		}
		n.sim.table.read(n.index, []string{RenewalKey(m.Session)}, func(o Outcome, rows []metastore.Row) {
			if o == OutcomeApplied {
				n.watch.Observe(n.clock(), m.Session, rows[0].Version)
			}
		})
	}
}

func (n *simNode) applyFeed(version int, members []cluster.Member, gone cluster.Session) {
	if !gone.IsZero() {
		n.perform(n.witness.Handle(n.clock(), Forget{gone}))
		n.watch.Forget(gone)
		if gone == n.session {
			n.perform(n.holder.Handle(n.clock(), Fenced{}))
		}
	}
	if version > n.feedVersion {
		n.feedVersion, n.members = version, members
		n.perform(n.holder.Handle(n.clock(), Members{Self: n.self, Members: members}))
	}
}

// takeOver starts a takeover unless this node already runs one of the session.
func (n *simNode) takeOver(session, reporter cluster.Session) {
	for _, t := range n.takeovers {
		if t.session == session {
			return
		}
	}
	t := NewTakeover(n.sim.cfg, session, reporter)
	t.mutations = n.sim.mutations
	n.takeovers = append(n.takeovers, t)
	n.performTakeover(t, t.Handle(n.clock(), Tick{}))
}

// toWitness sends a message to the witness of w's instance, even if it has restarted.
func (n *simNode) toWitness(w cluster.Session, e Event) {
	to := n.sim.nodes[n.sim.node(w)]
	n.sim.send(n.index, to.index, func() { to.performFor(n, to.witness.Handle(to.clock(), e)) })
}

func (n *simNode) perform(actions []Action) { n.performFor(nil, actions) }

// performFor carries out the actions of the holder and the witness. sender is the node
// whose message the actions answer; nil if they answer none.
func (n *simNode) performFor(sender *simNode, actions []Action) {
	s, starts := n.sim, n.starts
	for _, action := range slices.Clone(actions) {
		switch a := action.(type) {
		case SendRenew:
			n.toWitness(a.Renew.Witness, a.Renew)
		case CommitRow:
			s.table.commit(n.index, a.Txn, func(o Outcome) { n.answer(starts, Committed{a.Attempt, o}) })
		case CommitRenewal:
			s.table.commit(n.index, a.Txn, func(o Outcome) { n.answer(starts, Committed{a.Attempt, o}) })
		case ReadRow:
			s.table.read(n.index, []string{a.Key}, func(o Outcome, rows []metastore.Row) {
				n.answer(starts, RowRead{Attempt: a.Attempt, Outcome: o, Session: rows[0]})
			})
		case SendGranted:
			s.send(n.index, sender.index, func() { sender.toHolder(a.Granted) })
		case SendRefused:
			s.send(n.index, sender.index, func() { sender.toHolder(a.Refused) })
		case SendSealed:
			s.send(n.index, sender.index, func() { sender.sealed(a.Sealed) })
		case ReportExpired:
			p := s.nodes[s.planner]
			s.send(n.index, p.index, func() { p.takeOver(a.Expired.Session, a.Expired.Witness) })
		case TakePlanner:
			s.planner = n.index
			n.takeOver(a.Expired.Session, a.Expired.Witness)
		}
	}
	s.verify(n)
}

func (n *simNode) toHolder(e Event) { n.perform(n.holder.Handle(n.clock(), e)) }

// answer passes a result of the store to the holder unless the node has restarted
// since the request.
func (n *simNode) answer(starts int, e Event) {
	if n.starts == starts {
		n.toHolder(e)
	}
}

func (n *simNode) sealed(m Sealed) {
	for _, t := range slices.Clone(n.takeovers) {
		n.performTakeover(t, t.Handle(n.clock(), m))
	}
}

func (n *simNode) performTakeover(t *Takeover, actions []Action) {
	s, starts := n.sim, n.starts
	handle := func(e Event) {
		if n.starts == starts {
			n.performTakeover(t, t.Handle(n.clock(), e))
		}
	}
	for _, action := range slices.Clone(actions) {
		switch a := action.(type) {
		case ReadLostRows:
			keys := []string{SessionKey(a.Session), RenewalKey(a.Session)}
			s.table.read(n.index, keys, func(o Outcome, rows []metastore.Row) {
				r := RowRead{Attempt: a.Attempt, Outcome: o, Session: rows[0], Renewal: rows[1]}
				if o == OutcomeApplied {
					r.RenewalFirstSeen = n.watch.Observe(n.clock(), a.Session, rows[1].Version)
				}
				handle(r)
			})
		case SendSeal:
			n.toWitness(a.Seal.Witness, a.Seal)
		case CommitFence:
			txn := metastore.Txn{Conditions: a.Conditions, Writes: a.Writes}
			s.table.commit(n.index, txn, func(o Outcome) { handle(Committed{a.Attempt, o}) })
		case NeedOperator:
			s.operatorNeeded[a.Session] = true
		case TakeoverDone:
			n.takeovers = slices.DeleteFunc(n.takeovers, func(o *Takeover) bool { return o == t })
			if a.Result != TakeoverFenced && !t.reporter.IsZero() {
				n.toWitness(t.reporter, NotLost{Session: a.Session, Generation: a.Generation})
			}
		}
	}
}
