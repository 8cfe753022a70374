package lease

import (
	"fmt"
	"slices"
	"time"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/metastore"
)

// simNode is one daemon: its clock, its state machines and its fate.
type simNode struct {
	sim       *sim
	index     int
	rate      float64
	offset    time.Duration
	life      int // counts starts, so that events of an earlier life are dropped
	dead      bool
	pausedTil time.Duration
	inbox     []func()

	session   cluster.Session
	self      cluster.Member
	holder    *Holder
	witness   *Witness
	watch     *RenewalWatch
	takeovers []*Takeover
	members   []cluster.Member
	fed       int
}

func (n *simNode) clock() time.Time {
	return simEpoch.Add(n.offset + time.Duration(float64(n.sim.now)*n.rate))
}

// do runs f now, or at the end of a pause, in order.
func (n *simNode) do(f func()) {
	switch {
	case n.dead:
	case n.sim.now < n.pausedTil:
		n.inbox = append(n.inbox, f)
	default:
		f()
	}
}

func (n *simNode) pause(d time.Duration) {
	if n.pausedTil > n.sim.now {
		return
	}
	n.pausedTil = n.sim.now + d
	life := n.life
	n.sim.after(d, func() {
		for len(n.inbox) > 0 && n.life == life && !n.dead {
			f := n.inbox[0]
			n.inbox = n.inbox[1:]
			f()
		}
	})
}

func (n *simNode) kill() { n.dead, n.inbox, n.pausedTil = true, nil, 0; n.life++ }

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
	n.holder.breaks, n.witness.breaks = s.breaks, s.breaks
	s.members = append(s.members, n.self)
	n.members = slices.Clone(s.members)
	n.perform(n.holder.Handle(n.clock(), Members{Self: n.self, Members: n.members}))
	s.feed(cluster.Session{})
	n.every(s.tick, n.tick)
	n.every(s.cfg.WatchInterval, n.watchRenewals)
}

// every repeats f in this life, by the node's own clock.
func (n *simNode) every(d time.Duration, f func()) {
	life := n.life
	d = time.Duration(float64(d) / n.rate)
	var again func()
	again = func() {
		if n.life != life {
			return
		}
		if n.sim.now >= n.pausedTil {
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
		n.start() // a fenced session rejoins as a new one
	}
}

// watchRenewals reads the renewal rows of small clusters.
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
	if version > n.fed {
		n.fed, n.members = version, members
		n.perform(n.holder.Handle(n.clock(), Members{Self: n.self, Members: members}))
	}
}

// takeOver starts a takeover unless one of the session runs here.
func (n *simNode) takeOver(session, reporter cluster.Session) {
	for _, t := range n.takeovers {
		if t.session == session {
			return
		}
	}
	t := NewTakeover(n.sim.cfg, session, reporter)
	t.breaks = n.sim.breaks
	n.takeovers = append(n.takeovers, t)
	n.performTakeover(t, t.Handle(n.clock(), Tick{}))
}

// toWitness sends a message for w's witness; a restarted process receives it, too.
func (n *simNode) toWitness(w cluster.Session, e Event) {
	to := n.sim.nodes[n.sim.node(w)]
	n.sim.send(n.index, to.index, func() { to.performFor(n, to.witness.Handle(to.clock(), e)) })
}

func (n *simNode) perform(actions []Action) { n.performFor(nil, actions) }

// performFor carries out the actions of holder and witness; asker is the sender of
// the message that the actions answer.
func (n *simNode) performFor(asker *simNode, actions []Action) {
	s, life := n.sim, n.life
	for _, action := range slices.Clone(actions) {
		switch a := action.(type) {
		case SendRenew:
			n.toWitness(a.Renew.Witness, a.Renew)
		case CommitRow:
			s.table.commit(n.index, a.Txn, func(o Outcome) { n.answer(life, Committed{a.Attempt, o}) })
		case CommitRenewal:
			s.table.commit(n.index, a.Txn, func(o Outcome) { n.answer(life, Committed{a.Attempt, o}) })
		case ReadRow:
			s.table.read(n.index, []string{a.Key}, func(o Outcome, rows []metastore.Row) {
				n.answer(life, RowRead{Attempt: a.Attempt, Outcome: o, Session: rows[0]})
			})
		case SendGranted:
			s.send(n.index, asker.index, func() { asker.toHolder(a.Granted) })
		case SendRefused:
			s.send(n.index, asker.index, func() { asker.toHolder(a.Refused) })
		case SendSealed:
			s.send(n.index, asker.index, func() { asker.sealed(a.Sealed) })
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

// answer passes a result of the table to the holder that asked for it.
func (n *simNode) answer(life int, e Event) {
	if n.life == life {
		n.toHolder(e)
	}
}

func (n *simNode) sealed(m Sealed) {
	for _, t := range slices.Clone(n.takeovers) {
		n.performTakeover(t, t.Handle(n.clock(), m))
	}
}

func (n *simNode) performTakeover(t *Takeover, actions []Action) {
	s, life := n.sim, n.life
	handle := func(e Event) {
		if n.life == life {
			n.performTakeover(t, t.Handle(n.clock(), e))
		}
	}
	for _, action := range slices.Clone(actions) {
		switch a := action.(type) {
		case ReadLostRow:
			keys := []string{SessionKey(a.Session), RenewalKey(a.Session)}
			s.table.read(n.index, keys, func(o Outcome, rows []metastore.Row) {
				r := RowRead{Attempt: a.Attempt, Outcome: o, Session: rows[0], Renewal: rows[1]}
				if o == OutcomeApplied {
					r.RenewalSince = n.watch.Observe(n.clock(), a.Session, rows[1].Version)
				}
				handle(r)
			})
		case SendSeal:
			n.toWitness(a.Seal.Witness, a.Seal)
		case CommitFence:
			txn := metastore.Txn{Conditions: a.Conditions, Writes: a.Writes}
			s.table.commit(n.index, txn, func(o Outcome) { handle(Committed{a.Attempt, o}) })
		case NeedOperator:
			s.needOp[a.Session] = true
		case TakeoverDone:
			n.takeovers = slices.DeleteFunc(n.takeovers, func(o *Takeover) bool { return o == t })
			if a.Result != TakeoverFenced && !t.reporter.IsZero() {
				n.toWitness(t.reporter, NotLost{Session: a.Session, Generation: a.Generation})
			}
		}
	}
}
