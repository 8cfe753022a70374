package ownership

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/dedupe"
	"github.com/basilway/basilway/verdict"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
)

const (
	keyCount      = 16 // key hashes are multiples of 1<<60
	leaseDuration = 1500 * time.Millisecond
)

var startTime = time.UnixMilli(1_800_000_000_000)

type call struct {
	id   uuid.UUID
	hash uint64
	runs int
}

type running struct {
	*call
	ticket Ticket
	sent   bool
}

// node is one daemon; after a fence it restarts as a new session.
type node struct {
	w          *world
	session    cluster.Session
	machine    *Machine
	memory     *dedupe.Memory
	skew       time.Duration
	applied    uint64
	leaseUntil time.Time // by the true clock
	paused     bool
	cutOff     bool // its lease is not renewed
	running    []*running
	queued     map[uint64]*call
	lastQueued uint64
	drained    bool
}

// world simulates three daemons, a planner and a network in virtual time. choose
// returns a number in [0, n).
type world struct {
	choose    func(n int) int
	now       time.Time
	states    []*cluster.State
	nodes     []*node
	net       []func()
	lossy     bool // handover messages are lost
	calls     []*call
	mutations mutations
	err       error
}

func (w *world) fail(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf(format, args...)
	}
}

func (w *world) latest() *cluster.State { return w.states[len(w.states)-1] }

func (w *world) commit(entries ...cluster.Entry) bool {
	next := w.latest().Clone()
	if next.Apply(next.Version+1, entries) != nil {
		return false
	}
	w.states = append(w.states, next)
	return true
}

func newWorld(choose func(int) int, mut mutations) *world {
	w := &world{choose: choose, now: startTime, states: []*cluster.State{cluster.NewState()}, mutations: mut}
	for i := range 3 {
		w.nodes = append(w.nodes, &node{w: w, skew: time.Duration(i-1) * 100 * time.Millisecond})
		w.nodes[i].start(fmt.Sprint("n", i), 1)
	}
	w.commit(cluster.Entry{Kind: cluster.EntryOwnerSet, Unit: cluster.Unit{Service: "s"}, Session: w.nodes[0].session})
	return w
}

func (n *node) start(instance string, incarnation uint64) {
	n.session = cluster.Session{Instance: instance, Incarnation: incarnation}
	n.machine = New(Config{Self: n.session, MaxQueuedUnit: 4, HandoverTimeout: 500 * time.Millisecond}, n.now())
	n.machine.mutations = n.w.mutations
	n.memory = dedupe.New(dedupe.Config{MaxIDs: 2000})
	n.running, n.queued = nil, map[uint64]*call{}
	n.drained, n.paused, n.cutOff, n.applied = false, false, false, uint64(len(n.w.states)-1)
	n.w.commit(cluster.Entry{Kind: cluster.EntryMemberJoined, Member: &cluster.Member{Session: n.session, Service: "s"}})
	n.handle(StateApplied{n.w.states[n.applied]})
	n.handle(BackendChanged{BackendUp})
	n.renew()
}

func (n *node) now() time.Time { return n.w.now.Add(n.skew) }

func (n *node) renew() {
	if _, member := n.w.latest().Members[n.session]; member && !n.cutOff {
		n.leaseUntil = n.w.now.Add(leaseDuration)
		n.handle(LeaseChanged{n.now().Add(leaseDuration)})
	}
}

// apply applies the next cluster version or, sometimes, the latest one, as after
// reading a snapshot. It reports whether there was one.
func (n *node) apply() bool {
	if int(n.applied) == len(n.w.states)-1 {
		return false
	}
	n.applied++
	if n.w.choose(10) == 0 {
		n.applied = uint64(len(n.w.states) - 1)
	}
	n.handle(StateApplied{n.w.states[n.applied]})
	return true
}

func (n *node) handle(e Event) {
	if n.paused {
		return
	}
	for _, a := range n.machine.Handle(e, n.now()) {
		switch a := a.(type) {
		case SendHandover:
			n.sendHandover(a)
		case SendReleased:
			n.w.net = append(n.w.net, func() { n.w.released(n, a.Message) })
		case RequestMove:
			n.w.net = append(n.w.net, func() { n.w.moveAway(a.Units) })
		case StartQueued:
			c := n.queued[a.ID]
			delete(n.queued, a.ID)
			n.admit(c)
		case RejectQueued:
			delete(n.queued, a.ID)
		case RaiseFloor:
			n.memory.RaiseFloor(a.Span, a.FloorMS)
		case SetUnits:
			n.memory.SetUnits(a.Service, a.Starts, a.HotKeys)
		case CloseBackend:
			for _, r := range n.running {
				n.end(r, verdict.MayHaveRun)
			}
			n.running = nil
		case Drained:
			n.drained = true
		}
	}
	for _, r := range n.machine.queue.requests {
		if !n.now().Before(r.Deadline) {
			n.w.fail("%s keeps a request past its deadline", n.session)
		}
	}
}

func (n *node) sendHandover(a SendHandover) {
	data, err := cbor.Marshal(Handover{Unit: a.Unit, From: n.session, Move: a.Move, IDs: n.memory.Export(a.Span, a.FloorMS, n.now())})
	if err != nil {
		n.w.fail("%v", err)
	}
	if n.w.lossy {
		return
	}
	n.w.net = append(n.w.net, func() {
		for _, to := range n.w.nodes {
			var h Handover
			if to.session != a.To || to.paused {
				continue
			}
			if cbor.Unmarshal(data, &h) != nil {
				n.w.fail("handover cannot be read")
			}
			to.memory.Import(h.IDs, to.now())
			to.handle(HandoverReceived{h.Unit, h.Move})
			n.w.net = append(n.w.net, func() { n.handle(HandoverAcked{h.Unit, h.Move}) })
		}
	})
}

// released is the planner's side of Released.
func (w *world) released(from *node, r Released) {
	o, _ := w.latest().Get(r.Unit)
	ok := o.Owner == r.From && o.MovingTo == r.To && o.MoveVersion == r.Move &&
		w.commit(cluster.Entry{Kind: cluster.EntryOwnerSet, Unit: r.Unit, Session: r.To})
	w.net = append(w.net, func() { from.handle(ReleasedAnswered{r.Unit, r.Move, ok}) })
}

func (w *world) moveAway(units []cluster.Unit) {
	for _, u := range units {
		to := w.nodes[w.choose(len(w.nodes))]
		if !to.machine.draining {
			w.commit(cluster.Entry{Kind: cluster.EntryMoveBegun, Unit: u, Session: to.session})
		}
	}
}

func (n *node) admit(c *call) {
	deadline := n.now().Add(time.Duration(1+n.w.choose(800)) * time.Millisecond)
	decision, ticket, err := n.machine.Gate().Admit("s", c.hash, deadline, n.now())
	switch {
	case err != nil:
	case decision == Queue:
		n.lastQueued++
		id := n.lastQueued
		n.queued[id] = c
		n.handle(RequestQueued{QueuedRequest{ID: id, Service: "s", Hash: c.hash, Deadline: deadline}})
	case n.memory.Begin(c.id, "s", c.hash, ticket.FloorMS, n.now()).Action != dedupe.Run:
		n.gateEnd(ticket)
	default:
		n.running = append(n.running, &running{call: c, ticket: ticket})
	}
}

func (n *node) gateEnd(t Ticket) {
	if n.machine.Gate().End(t) {
		n.handle(RequestEnded{})
	}
}

func (n *node) end(r *running, v verdict.Verdict) {
	n.memory.Finish(r.id, "s", r.hash, v, nil, n.now())
	n.gateEnd(r.ticket)
}

// step sends or ends a random request in flight.
func (n *node) step() {
	if len(n.running) == 0 {
		return
	}
	i := n.w.choose(len(n.running))
	r := n.running[i]
	if !r.sent && n.machine.Gate().CheckSend(r.ticket, n.now()) == nil {
		r.sent = true
		if r.runs++; r.runs > 1 {
			n.w.fail("id %s of key %x runs twice, now on %s", r.id, r.hash, n.session)
		}
		return
	}
	n.running = append(n.running[:i:i], n.running[i+1:]...)
	if r.sent {
		n.end(r, []verdict.Verdict{verdict.Ran, verdict.MayHaveRun}[n.w.choose(2)])
	} else {
		n.end(r, verdict.NotRun)
	}
}

func (w *world) request() {
	if len(w.calls) == 0 || w.choose(4) == 0 {
		var id uuid.UUID
		stamp := w.now.Add(time.Duration(w.choose(600)-400) * time.Millisecond)
		binary.BigEndian.PutUint64(id[:8], uint64(stamp.UnixMilli())<<16|0x7000)
		binary.BigEndian.PutUint64(id[8:], uint64(len(w.calls))|1<<63)
		w.calls = append(w.calls, &call{id: id, hash: uint64(w.choose(keyCount)) << 60})
	}
	c := w.calls[len(w.calls)-1-w.choose(min(len(w.calls), 100))]
	n := w.nodes[w.choose(len(w.nodes))]
	if w.choose(4) > 0 { // mostly to the owner
		o, _ := w.latest().Owner("s", c.hash)
		for _, other := range w.nodes {
			if other.session == o.Owner {
				n = other
			}
		}
	}
	if !n.paused {
		n.admit(c)
	}
}

// plan commits a random change by the planner.
func (w *world) plan() {
	hash := uint64(w.choose(keyCount)) << 60
	_, u := w.latest().Owner("s", hash)
	e := cluster.Entry{Unit: u}
	switch w.choose(7) {
	case 0, 1, 2:
		e.Kind, e.Session = cluster.EntryMoveBegun, w.nodes[w.choose(len(w.nodes))].session
	case 3:
		e.Kind = cluster.EntryMoveCancelled
	case 4:
		e.Kind, e.At = cluster.EntryRangeSplit, hash
	case 5:
		e.Kind = cluster.EntryRangeMerged
		if u.Hot {
			e.Kind = cluster.EntryHotKeyCleared
		}
	case 6:
		e.Kind, e.Unit = cluster.EntryHotKeyIsolated, cluster.Unit{Service: "s", Start: hash, Hot: true}
	}
	w.commit(e)
}

// fence fences a daemon whose lease has expired. The daemon starts a new session at
// once, or later if it does not learn of the fence yet.
func (w *world) fence(n *node) {
	var others []*node
	for _, o := range w.nodes {
		if _, member := w.latest().Members[o.session]; member && o != n {
			others = append(others, o)
		}
	}
	if _, member := w.latest().Members[n.session]; !member {
		n.start(n.session.Instance, n.session.Incarnation+1)
		return
	}
	if w.now.Before(n.leaseUntil) || len(others) == 0 {
		return
	}
	entries := []cluster.Entry{{Kind: cluster.EntryMemberFenced, Session: n.session}}
	for _, u := range w.latest().UnitsOf(n.session) {
		entries = append(entries, cluster.Entry{
			Kind: cluster.EntryOwnerSet, Unit: u, Session: others[w.choose(len(others))].session, FloorMS: w.now.UnixMilli() + 400,
		})
	}
	if !w.commit(entries...) {
		w.fail("fence of %s refused", n.session)
	}
	if w.choose(2) == 0 {
		n.start(n.session.Instance, n.session.Incarnation+1)
	}
}

// check fails if two daemons would serve a key now.
func (w *world) check() {
	for k := range uint64(keyCount) {
		if served := w.servers(k << 60); len(served) > 1 {
			w.fail("key %d is served by %v", k, served)
		}
	}
}

func (w *world) servers(hash uint64) (out []cluster.Session) {
	for _, n := range w.nodes {
		g := n.machine.Gate()
		if _, v, err := g.decide(g.snapshot.Load(), "s", hash, n.now()); err == nil && !v.mustQueue {
			out = append(out, n.session)
		}
	}
	return out
}
