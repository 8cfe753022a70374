package ownership

import (
	"flag"
	"math"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/verdict"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // -rapid.seed overrides it
	if n := os.Getenv("BASILWAY_SCHEDULES"); n != "" {
		_ = flag.Set("rapid.checks", n)
	}
	os.Exit(m.Run())
}

// runFaults runs steps random events and checks safety after each.
func (w *world) runFaults(steps int) {
	for range steps {
		n := w.nodes[w.choose(len(w.nodes))]
		switch op := w.choose(40); {
		case op < 10:
			w.request()
		case op < 13 && len(w.net) > 0: // deliver, repeat or lose a message
			i := w.choose(len(w.net))
			deliver, outcome := w.net[i], w.choose(5)
			if outcome > 0 {
				w.net = append(w.net[:i:i], w.net[i+1:]...)
			}
			if outcome != 1 {
				deliver()
			}
		case op < 15:
			w.plan()
		case op == 15:
			w.fence(n)
		case op == 16 && w.choose(2) == 0:
			n.paused = w.choose(3) == 0
		case op == 16 && w.choose(2) == 0:
			n.cutOff = w.choose(3) > 0
		case op == 16:
			w.lossy = !w.lossy
		case op == 17:
			w.now = w.now.Add(time.Duration(1+w.choose(150)) * time.Millisecond)
		case n.paused:
			n.paused = w.choose(20) > 0
		case op < 25:
			n.step()
		case op < 30:
			for n.apply() && w.choose(4) > 0 {
			}
		case op < 36:
			n.renew()
		case op == 36 && w.choose(2) == 0:
			n.handle(BackendChanged{[]BackendState{BackendUp, BackendUp, BackendUp, BackendFrozen, BackendDown}[w.choose(5)]})
		case op == 37 && w.choose(20) == 0 && !slices.ContainsFunc(w.nodes, func(n *node) bool { return n.machine.draining }):
			n.handle(DrainRequested{})
		default:
			n.handle(Tick{})
		}
		if w.check(); w.err != nil {
			return
		}
	}
}

// settle runs 10 s without faults and checks that no key, drain or queue is stuck.
func (w *world) settle() {
	w.lossy = false
	for _, n := range w.nodes {
		if _, member := w.latest().Members[n.session]; !member {
			n.start(n.session.Instance, n.session.Incarnation+1)
		}
		n.paused, n.cutOff = false, false
		n.handle(BackendChanged{BackendUp})
	}
	for range 100 {
		w.now = w.now.Add(100 * time.Millisecond)
		for _, n := range w.nodes {
			for n.apply() {
			}
			n.renew()
			if due := n.machine.NextTick(); !due.IsZero() && !due.After(n.now()) {
				n.handle(Tick{})
			}
			for len(n.running) > 0 {
				n.step()
			}
		}
		for net := w.net; len(net) > 0; net = net[1:] {
			w.net = w.net[1:]
			net[0]()
		}
		if w.check(); w.err != nil {
			return
		}
	}
	for k := range uint64(keyCount) {
		if served := w.servers(k << 60); len(served) != 1 {
			w.fail("key %d is stuck: served by %v", k, served)
		}
	}
	for _, n := range w.nodes {
		if n.machine.draining && !n.drained {
			w.fail("%s does not finish its drain", n.session)
		}
		if n.machine.Queued() > 0 || len(n.queued) > 0 {
			w.fail("%s still queues", n.session)
		}
	}
}

func run(choose func(int) int, steps int, mut mutations) error {
	w := newWorld(choose, mut)
	w.runFaults(steps)
	if w.err == nil {
		w.settle()
	}
	return w.err
}

// Guards against keys with two servers, ids that run twice, units that stay stuck after
// faults, and requests queued past their deadline.
func TestSafetyAndLivenessUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Drawing each choice with rapid favours small numbers and so few kinds of steps.
		seed := rapid.Uint64().Draw(t, "seed")
		steps := rapid.IntRange(1, 1500).Draw(t, "steps")
		if err := run(rand.New(rand.NewPCG(seed, 1)).IntN, steps, mutations{}); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a model that detects nothing: with any single rule switched off, some
// seed must lead to an error, and with all rules on, none may.
func TestModelDetectsMutations(t *testing.T) {
	for name, mut := range map[string]mutations{
		"none":                     {},
		"serve after release":      {serveReleased: true},
		"trust a missing handover": {trustMissingHandover: true},
		"ignore floor":             {ignoreFloor: true},
		"queue past the deadline":  {keepOverdue: true},
	} {
		detected := 0
		for seed := range uint64(20) {
			if err := run(rand.New(rand.NewPCG(seed, 1)).IntN, 2000, mut); err != nil {
				if mut == (mutations{}) {
					t.Fatalf("seed %d: %v", seed, err)
				}
				if detected++; detected == 3 {
					break
				}
			}
		}
		t.Logf("%s: detected on %d seeds", name, detected)
		if mut != (mutations{}) && detected == 0 {
			t.Errorf("%s is not detected", name)
		}
	}
}

// newOwner returns a machine that serves all keys of service s, split into the given
// number of ranges.
func newOwner(t testing.TB, ranges uint64) (*Machine, *cluster.State) {
	self := cluster.Session{Instance: "a", Incarnation: 1}
	other := cluster.Session{Instance: "b", Incarnation: 1}
	m, s := New(Config{Self: self}, startTime), cluster.NewState()
	entries := []cluster.Entry{
		{Kind: cluster.EntryMemberJoined, Member: &cluster.Member{Session: self}},
		{Kind: cluster.EntryMemberJoined, Member: &cluster.Member{Session: other}},
		{Kind: cluster.EntryOwnerSet, Unit: cluster.Unit{Service: "s"}, Session: self},
	}
	for i := ranges - 1; i > 0; i-- {
		entries = append(entries, cluster.Entry{Kind: cluster.EntryRangeSplit, Unit: cluster.Unit{Service: "s"}, At: i * (math.MaxUint64/ranges + 1)})
	}
	if err := s.Apply(1, entries); err != nil {
		t.Fatal(err)
	}
	m.Handle(StateApplied{s.Clone()}, startTime)
	m.Handle(BackendChanged{BackendUp}, startTime)
	m.Handle(LeaseChanged{startTime.Add(time.Hour)}, startTime)
	return m, s
}

func applyEntry(t testing.TB, m *Machine, s *cluster.State, e cluster.Entry) []Action {
	if err := s.Apply(s.Version+1, []cluster.Entry{e}); err != nil {
		t.Fatal(err)
	}
	return m.Handle(StateApplied{s.Clone()}, startTime)
}

// Guards against errors that do not tell a forwarding daemon the owner, and against a send
// after the deadline, after the lease ended or after the backend server froze.
func TestAdmitAndCheckSendErrors(t *testing.T) {
	g := NewWithT(t)
	m, s := newOwner(t, 16)
	gate, u, later := m.Gate(), cluster.Unit{Service: "s"}, startTime.Add(time.Minute)
	_, ticket, err := gate.Admit("s", 1, later, startTime)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(gate.CheckSend(ticket, startTime)).To(Succeed())
	g.Expect(gate.CheckSend(ticket, later)).To(Equal(ErrDeadline))
	m.Handle(BackendChanged{BackendFrozen}, startTime)
	g.Expect(gate.CheckSend(ticket, startTime)).To(Equal(ErrBackendNotReady))
	g.Expect(m.Handle(Tick{}, later)).To(ContainElement(CloseBackend{}))
	m.Handle(BackendChanged{BackendUp}, startTime)
	m.Handle(LeaseChanged{}, startTime)
	g.Expect(gate.CheckSend(ticket, startTime)).To(Equal(ErrLeaseLost))
	applyEntry(t, m, s, cluster.Entry{Kind: cluster.EntryMemberLeft, Session: m.config.Self})
	applyEntry(t, m, s, cluster.Entry{Kind: cluster.EntryOwnerSet, Unit: u, Session: cluster.Session{Instance: "b", Incarnation: 1}})
	_, _, err = gate.Admit("s", 1, later, startTime)
	g.Expect(err).To(Equal(&NotOwnerError{Unit: u, Owner: cluster.Session{Instance: "b", Incarnation: 1}, Version: 3}))
	g.Expect(verdict.From(err).Reason).To(Equal(verdict.ReasonNotOwner))
	_, _, err = gate.Admit("s", 1<<60, later, startTime)
	g.Expect(verdict.From(err).Reason).To(Equal(verdict.ReasonNoOwner))
}

// Guards against a hot key that cannot move because new requests keep its range busy,
// and against a handover while a request is in flight that was admitted to the range
// before the hot key was isolated.
func TestHotKeyMoveWaitsForRequestsOfItsRange(t *testing.T) {
	g := NewWithT(t)
	m, s := newOwner(t, 16)
	gate, hot := m.Gate(), cluster.Unit{Service: "s", Start: 1, Hot: true}
	_, before, _ := gate.Admit("s", 1, startTime.Add(time.Minute), startTime)
	applyEntry(t, m, s, cluster.Entry{Kind: cluster.EntryHotKeyIsolated, Unit: hot})
	_, busy, _ := gate.Admit("s", 2, startTime.Add(time.Minute), startTime)
	moved := applyEntry(t, m, s, cluster.Entry{Kind: cluster.EntryMoveBegun, Unit: hot, Session: cluster.Session{Instance: "b", Incarnation: 1}})
	g.Expect(moved).NotTo(ContainElement(BeAssignableToTypeOf(SendHandover{})))
	g.Expect(gate.CheckSend(before, startTime)).To(Succeed())
	g.Expect(gate.End(before)).To(BeTrue())
	g.Expect(m.Handle(RequestEnded{}, startTime)).To(ContainElement(BeAssignableToTypeOf(SendHandover{})))
	g.Expect(gate.CheckSend(busy, startTime)).To(Succeed())
}

// Guards against use of a late handover of a cancelled move, which lacks the ids that
// the old owner ran after it.
func TestHandoverOfEarlierMoveIsIgnored(t *testing.T) {
	g := NewWithT(t)
	_, s := newOwner(t, 16)
	self, u := cluster.Session{Instance: "b", Incarnation: 1}, cluster.Unit{Service: "s"}
	m := New(Config{Self: self}, startTime)
	m.Handle(BackendChanged{BackendUp}, startTime)
	m.Handle(LeaseChanged{startTime.Add(time.Hour)}, startTime)
	begin := cluster.Entry{Kind: cluster.EntryMoveBegun, Unit: u, Session: self}
	applyEntry(t, m, s, begin)
	first := s.Version
	applyEntry(t, m, s, cluster.Entry{Kind: cluster.EntryMoveCancelled, Unit: u})
	applyEntry(t, m, s, begin)
	m.Handle(HandoverReceived{Unit: u, Move: first}, startTime)
	applyEntry(t, m, s, cluster.Entry{Kind: cluster.EntryOwnerSet, Unit: u, Session: self})
	decision, _, err := m.Gate().Admit("s", 1, startTime.Add(time.Minute), startTime)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decision).To(Equal(Queue))
	g.Expect(m.NextTick()).To(Equal(startTime.Add(DefaultHandoverWait)))
	g.Expect(m.Handle(Tick{}, m.NextTick())).To(ContainElement(
		HaveField("FloorMS", startTime.Add(DefaultFloorMargin).UnixMilli())))
	_, ticket, _ := m.Gate().Admit("s", 1, startTime.Add(time.Minute), startTime)
	g.Expect(ticket.FloorMS).To(Equal(startTime.Add(DefaultFloorMargin).UnixMilli()))
}

// Guards against a handover while a concurrent Admit still admits a request.
func TestNoRequestInFlightAtHandover(t *testing.T) {
	m, s := newOwner(t, 16)
	var admitted atomic.Int64
	var stop atomic.Bool
	var callers sync.WaitGroup
	for range 4 {
		callers.Go(func() {
			for !stop.Load() {
				if d, ticket, err := m.Gate().Admit("s", 1, startTime.Add(time.Minute), startTime); err == nil && d == Serve {
					admitted.Add(1)
					runtime.Gosched()
					admitted.Add(-1)
					m.Gate().End(ticket)
				}
			}
		})
	}
	u := cluster.Unit{Service: "s"}
	for range 500 {
		applyEntry(t, m, s, cluster.Entry{Kind: cluster.EntryMoveBegun, Unit: u, Session: cluster.Session{Instance: "b", Incarnation: 1}})
		for m.units[u].phase != handingOver {
			m.Handle(Tick{}, startTime)
		}
		for range 20 { // a caller may be between its decision and its count
			if n := admitted.Load(); n != 0 {
				t.Fatalf("%d requests in flight after the handover", n)
			}
			runtime.Gosched()
		}
		applyEntry(t, m, s, cluster.Entry{Kind: cluster.EntryMoveCancelled, Unit: u})
	}
	stop.Store(true)
	callers.Wait()
}

// clusterRanges is four ranges for each of 1,900 nodes.
const clusterRanges = 7600

func BenchmarkAdmitCheckSend(b *testing.B) {
	m, _ := newOwner(b, clusterRanges)
	gate, deadline := m.Gate(), startTime.Add(time.Minute)
	b.ReportAllocs()
	hash := uint64(0)
	for b.Loop() {
		hash += 0x9e3779b97f4a7c15
		_, ticket, err := gate.Admit("s", hash, deadline, startTime)
		if err != nil || gate.CheckSend(ticket, startTime) != nil {
			b.Fatal("refused")
		}
		gate.End(ticket)
	}
}

// BenchmarkStateApplied measures StateApplied for a session that owns 4 of the ranges.
func BenchmarkStateApplied(b *testing.B) {
	_, s := newOwner(b, clusterRanges)
	self := cluster.Session{Instance: "b", Incarnation: 1}
	for i := range 4 {
		s.Services["s"].Ranges[i*1900].Owner = self
	}
	m := New(Config{Self: self}, startTime)
	next := *s
	b.ReportAllocs()
	for b.Loop() {
		next.Version++
		state := next
		m.Handle(StateApplied{&state}, startTime)
	}
}
