package waitqueue

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// kind is a kind of request with its load, limits and value, as the users specified it.
type kind struct {
	route            string
	share            float64
	work, spread     float64 // mean in ms; standard deviation of the logarithm
	target, deadline time.Duration
	value, lateValue float64
	priority         int
}

// bookingKinds are the two kinds of request of a booking server.
var bookingKinds = []kind{
	{"lookup", 0.68, 60, 0.8, 200 * time.Millisecond, 800 * time.Millisecond, 1, 0.3, 2},
	{"booking", 0.32, 78, 0.3, 250 * time.Millisecond, time.Second, 2, 0.6, 1},
}

// queue is the part of Queue that a simulation uses.
type queue interface {
	Offer(it Item, now time.Time) (Decision, []Decision)
	Done(id ID, result Result, now time.Time) []Decision
	Advance(now time.Time) []Decision
}

// fifo is a queue without a policy: requests wait in order of arrival and leave at their
// deadline.
type fifo struct {
	slots, running int
	waiting        []Item
}

func (f *fifo) Offer(it Item, now time.Time) (Decision, []Decision) {
	others := f.Advance(now)
	if f.running < f.slots {
		f.running++
		return Decision{ID: it.ID}, others
	}
	f.waiting = append(f.waiting, it)
	return Decision{ID: it.ID, Action: Wait}, others
}

func (f *fifo) Done(_ ID, _ Result, now time.Time) []Decision {
	f.running--
	return f.Advance(now)
}

func (f *fifo) Advance(now time.Time) []Decision {
	var out []Decision
	for len(f.waiting) > 0 {
		it := f.waiting[0]
		switch {
		case now.After(it.Deadline):
			out = append(out, Decision{ID: it.ID, Action: Refuse})
		case f.running < f.slots:
			f.running++
			out = append(out, Decision{ID: it.ID})
		default:
			return out
		}
		f.waiting = f.waiting[1:]
	}
	return out
}

// client is a request as its client sees it, with at most one retry.
type client struct {
	kind    kind
	first   time.Time
	retried bool
	work    time.Duration
}

// event is an event of a simulation.
type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// simulation is one server with its queue, in virtual time.
type simulation struct {
	rng              *rand.Rand
	queue            queue
	now              time.Time
	events           events
	clients          map[ID]*client
	nextID           ID
	earned, possible float64
	served, offered  int
	byKind           map[string][2]float64 // earned and possible value
	work             time.Duration         // of the served requests
	refusedWait      time.Duration         // total time from arrival to refusal
	refusals         int
	arrivals         map[ID]time.Time
	slowFrom         time.Time // when the server becomes slower by slowFactor
	slowFactor       time.Duration
	declines         float64 // share of requests that the server refuses at once
	hideDeclines     bool    // the queue is not told which requests were declined
}

func newSimulation(q queue, seed uint64) *simulation {
	return &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), queue: q, now: time.Unix(0, 0), clients: map[ID]*client{},
		byKind: map[string][2]float64{}, arrivals: map[ID]time.Time{},
	}
}

func (s *simulation) at(t time.Time, do func()) { heap.Push(&s.events, event{t, do}) }

// load schedules random arrivals from from to until whose work keeps the given number of slots
// busy on average.
func (s *simulation) load(from, until time.Duration, slots float64) {
	mean := 0.0
	for _, k := range bookingKinds {
		mean += k.share * k.work / 1000
	}
	for t := from; t < until; t += time.Duration(s.rng.ExpFloat64() * mean / slots * float64(time.Second)) {
		k := bookingKinds[0]
		if s.rng.Float64() > k.share {
			k = bookingKinds[1]
		}
		// The mean of a log-normal variable is exp(mu + sigma^2/2).
		mu := math.Log(k.work) - k.spread*k.spread/2
		work := time.Duration(math.Exp(mu+k.spread*s.rng.NormFloat64()) * float64(time.Millisecond))
		start := time.Unix(0, 0).Add(t)
		s.possible += k.value
		s.offered++
		pair := s.byKind[k.route]
		s.byKind[k.route] = [2]float64{pair[0], pair[1] + k.value}
		s.at(start, func() { s.arrive(&client{kind: k, first: start, work: work}) })
	}
}

func (s *simulation) arrive(c *client) {
	s.nextID++
	id := s.nextID
	s.clients[id], s.arrivals[id] = c, s.now
	d, others := s.queue.Offer(Item{
		ID: id, Route: c.kind.route, Priority: c.kind.priority,
		Target: c.first.Add(c.kind.target), Deadline: c.first.Add(c.kind.deadline),
	}, s.now)
	s.apply(append(others, d))
}

func (s *simulation) apply(decisions []Decision) {
	for _, d := range decisions {
		c := s.clients[d.ID]
		switch d.Action {
		case Run:
			work := c.work
			if s.slowFactor > 0 && !s.now.Before(s.slowFrom) {
				work *= s.slowFactor
			}
			if s.declines > 0 && s.rng.Float64() < s.declines {
				s.at(s.now.Add(time.Millisecond), func() { s.decline(d.ID, c) })
				continue
			}
			s.at(s.now.Add(work), func() { s.finish(d.ID, c) })
		case Refuse:
			delete(s.clients, d.ID)
			s.refusedWait += s.now.Sub(s.arrivals[d.ID])
			s.refusals++
			left := c.first.Add(c.kind.deadline).Sub(s.now)
			if c.retried || left <= 0 {
				continue
			}
			c.retried = true
			s.at(s.now.Add(min(d.RetryAfter, left/3)), func() { s.arrive(c) })
		}
	}
}

func (s *simulation) finish(id ID, c *client) {
	took := s.now.Sub(c.first)
	value := 0.0
	switch {
	case took <= c.kind.target:
		value = c.kind.value
	case took <= c.kind.deadline:
		value = c.kind.lateValue
	}
	if value > 0 {
		s.served++
		s.work += c.work
	}
	s.earned += value
	pair := s.byKind[c.kind.route]
	s.byKind[c.kind.route] = [2]float64{pair[0] + value, pair[1]}
	delete(s.clients, id)
	s.apply(s.queue.Done(id, Completed, s.now))
}

// decline ends a request that the server refused at once. Its client retries once.
func (s *simulation) decline(id ID, c *client) {
	result := Declined
	if s.hideDeclines {
		result = Failed
	}
	others := s.queue.Done(id, result, s.now)
	s.apply(append(others, Decision{ID: id, Action: Refuse, RetryAfter: 50 * time.Millisecond}))
}

func (s *simulation) run() {
	// Advance the queue regularly, so that requests that wait too long are refused in time.
	const tick = 5 * time.Millisecond
	end := time.Unix(0, 0)
	for _, e := range s.events {
		if e.at.After(end) {
			end = e.at
		}
	}
	for t := time.Unix(0, 0); t.Before(end.Add(2 * time.Second)); t = t.Add(tick) {
		s.at(t, func() { s.apply(s.queue.Advance(s.now)) })
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
}

// result summarizes a simulation: the earned share of the possible value in all (payoff) and
// per route, the share of requests served, and the work of the served requests in seconds.
type result struct {
	payoff, served, lookup, booking, work float64
	// refusedWait is the mean time from arrival to refusal of refused requests.
	refusedWait time.Duration
}

func simulate(q queue, seed uint64, load func(s *simulation)) result {
	s := newSimulation(q, seed)
	load(s)
	s.run()
	share := func(route string) float64 { return s.byKind[route][0] / s.byKind[route][1] }
	return result{s.earned / s.possible, float64(s.served) / float64(s.offered), share("lookup"), share("booking"), s.work.Seconds(), s.refusedWait / time.Duration(max(s.refusals, 1))}
}

const simulatedSlots = 6

func newPolicyQueue() queue {
	q := New(DefaultConfig())
	q.SetSlots(simulatedSlots, time.Unix(0, 0))
	return q
}

// Guards against a queue that collapses under sustained overload: about as many requests must
// be served in time as the server has capacity for. A queue without a policy answers nearly
// all of them late.
func TestSustainedOverloadKeepsResponsesInTime(t *testing.T) {
	g := NewWithT(t)
	for _, overload := range []float64{1.2, 1.5, 2} {
		load := func(s *simulation) { s.load(0, 30*time.Second, overload*simulatedSlots) }
		got, baseline := simulate(newPolicyQueue(), 7, load), simulate(&fifo{slots: simulatedSlots}, 7, load)
		t.Logf("load %.1f: payoff %.3f served %.3f lookup %.3f booking %.3f; without a policy %.3f", overload, got.payoff, got.served, got.lookup, got.booking, baseline.payoff)
		g.Expect(got.work).To(BeNumerically(">", 0.9*30*simulatedSlots), "goodput in slot seconds; the target is 90 % of capacity at twice the load")
		g.Expect(got.payoff).To(BeNumerically(">", 2*baseline.payoff))
		g.Expect(got.booking).To(BeNumerically(">=", got.lookup), "the higher priority is served first")
	}
}

// Guards against refusing requests in a short burst although they can still be answered
// before their deadline. This happens if every request that would miss its target is refused.
func TestShortBurstIsServed(t *testing.T) {
	g := NewWithT(t)
	strict := func() queue {
		config := DefaultConfig()
		config.DeadlineFraction = 0
		q := New(config)
		q.SetSlots(simulatedSlots, time.Unix(0, 0))
		return q
	}
	refused, refusedBaseline := 0.0, 0.0
	for seed := range uint64(8) {
		load := func(s *simulation) {
			s.load(0, 10*time.Second, 0.6*simulatedSlots)
			s.load(3*time.Second, 3*time.Second+500*time.Millisecond, 0.9*simulatedSlots)
		}
		got, baseline := simulate(newPolicyQueue(), seed, load), simulate(strict(), seed, load)
		t.Logf("seed %d: payoff %.3f served %.3f, baseline %.3f and %.3f", seed, got.payoff, got.served, baseline.payoff, baseline.served)
		refused, refusedBaseline = refused+1-got.served, refusedBaseline+1-baseline.served
	}
	g.Expect(refused).To(BeNumerically("<", refusedBaseline*2/3))
}

// Guards against requests that wait in vain until their deadline: the server slows down to
// a third of its speed, so the estimates made on arrival are wrong. This happens if a request
// is checked only on arrival and at its deadline.
func TestHopelessRequestsAreRefusedEarly(t *testing.T) {
	g := NewWithT(t)
	unreviewed := func() queue {
		config := DefaultConfig()
		config.ReviewInterval = 0
		q := New(config)
		q.SetSlots(simulatedSlots, time.Unix(0, 0))
		return q
	}
	load := func(s *simulation) {
		s.load(0, 4*time.Second, 0.8*simulatedSlots)
		s.slowFrom, s.slowFactor = time.Unix(2, 0), 3
	}
	for seed := range uint64(4) {
		got, baseline := simulate(newPolicyQueue(), seed, load), simulate(unreviewed(), seed, load)
		t.Logf("seed %d: refused after %v, served %.3f; baseline %v, %.3f", seed, got.refusedWait, got.served, baseline.refusedWait, baseline.served)
		g.Expect(got.refusedWait).To(BeNumerically("<", baseline.refusedWait))
		g.Expect(got.refusedWait).To(BeNumerically("<", 100*time.Millisecond), "half of the lookups' target")
		g.Expect(got.payoff).To(BeNumerically(">", baseline.payoff-0.02))
	}
}

// Guards against a policy that delays or refuses requests when there is capacity for all.
func TestModerateLoadIsServedInTime(t *testing.T) {
	g := NewWithT(t)
	got := simulate(newPolicyQueue(), 3, func(s *simulation) { s.load(0, 30*time.Second, 0.6*simulatedSlots) })
	t.Logf("payoff %.3f served %.3f", got.payoff, got.served)
	g.Expect(got.served).To(BeNumerically(">", 0.995))
	g.Expect(got.payoff).To(BeNumerically(">", 0.95))
}

// Guards against idle slots while requests are refused: the server declines a part of its
// requests at once, so the queue drains faster than its length suggests. This happens if each
// waiting request is counted with its whole work.
func TestDeclinedRequestsLeaveNoSlotIdle(t *testing.T) {
	g := NewWithT(t)
	var got, baseline result
	for seed := range uint64(6) {
		load := func(s *simulation) {
			s.declines = 0.4
			s.load(0, 20*time.Second, 2.2*simulatedSlots)
		}
		undetected := func(s *simulation) {
			load(s)
			s.hideDeclines = true
		}
		a, b := simulate(newPolicyQueue(), seed, load), simulate(newPolicyQueue(), seed, undetected)
		t.Logf("seed %d: payoff %.3f work %.1f, baseline %.3f and %.1f", seed, a.payoff, a.work, b.payoff, b.work)
		got.payoff, baseline.payoff = got.payoff+a.payoff, baseline.payoff+b.payoff
		got.work, baseline.work = got.work+a.work, baseline.work+b.work
	}
	g.Expect(got.work).To(BeNumerically(">", baseline.work))
	g.Expect(got.payoff).To(BeNumerically(">=", baseline.payoff))
	g.Expect(got.work).To(BeNumerically(">", 0.9*6*20*simulatedSlots), "the target is 90 % of capacity at twice the load")
}
