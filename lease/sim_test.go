package lease

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/metastore"
)

// simEpoch is the start of true time in all simulations.
var simEpoch = time.Unix(1_700_000_000, 0)

type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

// sim runs daemons in virtual time. All randomness comes from rng.
type sim struct {
	rng       *rand.Rand
	cfg       Config
	mutations mutations
	now       time.Duration // true time
	seq       int
	queue     simQueue
	nodes     []*simNode
	table     *simTable

	latency   time.Duration // highest one-way delay
	lateShare float64       // share of messages that are delayed by up to 2 s
	lossShare float64
	tick      time.Duration
	planner   int
	cutUntil  map[[2]int]time.Duration // until when messages of {from, to} are lost

	members        []cluster.Member // active sessions
	fencedAt       map[cluster.Session]time.Duration
	operatorNeeded map[cluster.Session]bool
	failure        string
	unsafe         bool // the failure is a fenced holder with a valid lease
	// check runs after every event, if set.
	check func()
}

func newSim(seed uint64, nodes int, cfg Config, mut mutations) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, seed)), cfg: cfg, mutations: mut, latency: 5 * time.Millisecond,
		tick: cfg.TickInterval, cutUntil: map[[2]int]time.Duration{},
		fencedAt: map[cluster.Session]time.Duration{}, operatorNeeded: map[cluster.Session]bool{}}
	s.table = &simTable{sim: s, rows: map[string]metastore.Row{}, cutUntil: map[int]time.Duration{}}
	for i := range nodes {
		n := &simNode{sim: s, index: i, rate: 0.99 + 0.02*s.rng.Float64(), offset: s.duration(time.Hour)}
		if s.rng.IntN(2) == 0 {
			n.rate = 0.99 + 0.02*float64(s.rng.IntN(2)) // the extremes
		}
		s.nodes = append(s.nodes, n)
		n.start()
	}
	return s
}

func (s *sim) duration(limit time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(limit) + 1))
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{at: s.now + d, seq: s.seq, run: run})
}

// run executes events until true time end or the first failure.
func (s *sim) run(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end && s.failure == "" {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
		if s.check != nil {
			s.check()
		}
	}
	if s.failure == "" {
		s.now = end
	}
}

func (s *sim) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf("at %v: %s", s.now, fmt.Sprintf(format, args...))
	}
}

// send delivers a message unless it is lost or the link is cut. Some messages are
// delivered late and twice.
func (s *sim) send(from, to int, deliver func()) {
	if s.cutUntil[[2]int{from, to}] > s.now || s.rng.Float64() < s.lossShare {
		return
	}
	d := s.duration(s.latency)
	if s.rng.Float64() < s.lateShare {
		d += s.duration(2 * time.Second)
		s.after(s.duration(time.Second), func() { s.nodes[to].do(deliver) })
	}
	s.after(d, func() { s.nodes[to].do(deliver) })
}

// node returns the index of the node with the instance of session.
func (s *sim) node(session cluster.Session) int {
	var i int
	if _, err := fmt.Sscanf(session.Instance, "n%d", &i); err != nil {
		panic(err)
	}
	return i
}

// publishMembers sends the members and the session that is gone, if any, to every
// node, each after its own delay.
func (s *sim) publishMembers(gone cluster.Session) {
	members := append([]cluster.Member(nil), s.members...)
	version := s.seq
	for _, n := range s.nodes {
		s.after(s.duration(400*time.Millisecond), func() {
			n.do(func() { n.applyFeed(version, members, gone) })
		})
	}
}

// fenced is called when a fence is applied.
func (s *sim) fenced(session cluster.Session) {
	if _, ok := s.fencedAt[session]; ok {
		return
	}
	s.fencedAt[session] = s.now
	var rest []cluster.Member
	for _, m := range s.members {
		if m.Session != session {
			rest = append(rest, m)
		}
	}
	s.members = rest
	s.publishMembers(session)
	s.verify(s.nodes[s.node(session)])
}

// verify checks that a fenced holder has no valid lease. A lease becomes valid only in
// Handle, so it is enough to check at the fence and after each Handle.
func (s *sim) verify(n *simNode) {
	if n.dead {
		return
	}
	if at, ok := s.fencedAt[n.session]; ok && n.holder.Valid(n.clock()) {
		s.unsafe = true
		s.fail("%s is valid for %v more, fenced at %v", n.session, n.holder.ValidUntil().Sub(n.clock()), at)
	}
}

// simTable models the store.
type simTable struct {
	sim       *sim
	rows      map[string]metastore.Row
	version   uint64
	downUntil time.Duration
	cutUntil  map[int]time.Duration // until when nodes cannot reach the store
	lost      float64               // share of commits whose response is lost
	delayed   float64               // share of commits with unknown outcome that are applied up to 5 s later
}

func (t *simTable) reachable(node int) bool {
	return t.sim.now >= t.downUntil && t.sim.now >= t.cutUntil[node]
}

func (t *simTable) apply(txn metastore.Txn) Outcome {
	for _, c := range txn.Conditions {
		if t.rows[c.Key].Version != c.Version {
			return OutcomeConflict
		}
	}
	t.version++
	for _, w := range txn.Writes {
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = metastore.Row{Key: w.Key, Value: w.Value, Version: t.version}
		if row, err := DecodeSessionRow(t.rows[w.Key]); err == nil && row.State == RowFenced {
			session, err := cluster.ParseSession(w.Key[len("session/"):])
			if err != nil {
				panic(err)
			}
			t.sim.fenced(session)
		}
	}
	return OutcomeApplied
}

// commit applies txn after a delay and answers node once.
func (t *simTable) commit(node int, txn metastore.Txn, answer func(Outcome)) {
	s := t.sim
	reply := func(d time.Duration, o Outcome) {
		s.after(d, func() { s.nodes[node].do(func() { answer(o) }) })
	}
	s.after(s.duration(s.latency), func() {
		switch {
		case !t.reachable(node) && s.rng.IntN(2) == 0:
			reply(s.duration(300*time.Millisecond), OutcomeUnknown)
		case !t.reachable(node):
			reply(s.duration(s.latency), OutcomeNotApplied)
		case s.rng.Float64() < t.delayed:
			s.after(s.duration(5*time.Second), func() { t.apply(txn) })
			reply(s.duration(300*time.Millisecond), OutcomeUnknown)
		case s.rng.Float64() < t.lost:
			t.apply(txn)
			reply(s.duration(300*time.Millisecond), OutcomeUnknown)
		default:
			reply(s.duration(s.latency), t.apply(txn))
		}
	})
}

// read answers node with the rows of keys, read one after another in this order.
func (t *simTable) read(node int, keys []string, answer func(Outcome, []metastore.Row)) {
	s := t.sim
	var rows []metastore.Row
	var next func()
	next = func() {
		if !t.reachable(node) {
			s.after(s.duration(200*time.Millisecond), func() {
				s.nodes[node].do(func() { answer(OutcomeNotApplied, make([]metastore.Row, len(keys))) })
			})
			return
		}
		rows = append(rows, t.rows[keys[len(rows)]])
		d := s.duration(s.latency)
		if len(rows) < len(keys) {
			s.after(d, next)
			return
		}
		s.after(d, func() { s.nodes[node].do(func() { answer(OutcomeApplied, rows) }) })
	}
	s.after(s.duration(s.latency), next)
}
