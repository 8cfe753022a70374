package waitqueue

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// kind is a kind of request of the users' sheets.
type kind struct {
	route            string
	share            float64
	work, spread     float64 // milliseconds; spread of the logarithm
	target, deadline time.Duration
	worth, late      float64
	priority         int
}

// bookingKinds are the two kinds of request of a booking server.
var bookingKinds = []kind{
	{"lookup", 0.68, 60, 0.8, 200 * time.Millisecond, 800 * time.Millisecond, 1, 0.3, 2},
	{"booking", 0.32, 78, 0.3, 250 * time.Millisecond, time.Second, 2, 0.6, 1},
}

// line is what a replay drives.
type line interface {
	Offer(it Item, now time.Time) (Decision, []Decision)
	Done(id ID, result Result, now time.Time) []Decision
	Advance(now time.Time) []Decision
}

// fifo is the line without a policy: everyone waits in turn, and leaves at the deadline.
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
	return Decision{ID: it.ID, Verb: Wait}, others
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
			out = append(out, Decision{ID: it.ID, Verb: Refuse})
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

// client is a request as its client sees it.
type client struct {
	kind    kind
	first   time.Time
	retried bool
	work    time.Duration
}

// event is something that happens in a replay.
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

// replay is one server with its line, in virtual time.
type replay struct {
	rng           *rand.Rand
	line          line
	now           time.Time
	events        events
	clients       map[ID]*client
	nextID        ID
	earned, owed  float64
	served, asked int
	byKind        map[string][2]float64 // earned and owed
	work          time.Duration         // of the requests that were served
	held          time.Duration         // by refused requests until their refusal
	refusals      int
	arrivals      map[ID]time.Time
	slowFrom      time.Time // when the server turns slow, by a factor
	slow          time.Duration
	declines      float64 // share of requests that the server refuses at once
	blind         bool    // the line does not learn of that
}

func newReplay(l line, seed uint64) *replay {
	return &replay{
		rng: rand.New(rand.NewPCG(seed, 1)), line: l, now: time.Unix(0, 0), clients: map[ID]*client{},
		byKind: map[string][2]float64{}, arrivals: map[ID]time.Time{},
	}
}

func (r *replay) at(t time.Time, do func()) { heap.Push(&r.events, event{t, do}) }

// load lets requests arrive for a time, with rate busy slots of work a second.
func (r *replay) load(from, until time.Duration, slots float64) {
	mean := 0.0
	for _, k := range bookingKinds {
		mean += k.share * k.work / 1000
	}
	for t := from; t < until; t += time.Duration(r.rng.ExpFloat64() * mean / slots * float64(time.Second)) {
		k := bookingKinds[0]
		if r.rng.Float64() > k.share {
			k = bookingKinds[1]
		}
		// The mean of a log-normal variable is exp(mu + sigma^2/2).
		mu := math.Log(k.work) - k.spread*k.spread/2
		work := time.Duration(math.Exp(mu+k.spread*r.rng.NormFloat64()) * float64(time.Millisecond))
		start := time.Unix(0, 0).Add(t)
		r.owed += k.worth
		r.asked++
		pair := r.byKind[k.route]
		r.byKind[k.route] = [2]float64{pair[0], pair[1] + k.worth}
		r.at(start, func() { r.arrive(&client{kind: k, first: start, work: work}) })
	}
}

func (r *replay) arrive(c *client) {
	r.nextID++
	id := r.nextID
	r.clients[id], r.arrivals[id] = c, r.now
	d, others := r.line.Offer(Item{
		ID: id, Route: c.kind.route, Priority: c.kind.priority,
		Target: c.first.Add(c.kind.target), Deadline: c.first.Add(c.kind.deadline),
	}, r.now)
	r.apply(append(others, d))
}

func (r *replay) apply(decisions []Decision) {
	for _, d := range decisions {
		c := r.clients[d.ID]
		switch d.Verb {
		case Run:
			work := c.work
			if r.slow > 0 && !r.now.Before(r.slowFrom) {
				work *= r.slow
			}
			if r.declines > 0 && r.rng.Float64() < r.declines {
				r.at(r.now.Add(time.Millisecond), func() { r.decline(d.ID, c) })
				continue
			}
			r.at(r.now.Add(work), func() { r.finish(d.ID, c) })
		case Refuse:
			delete(r.clients, d.ID)
			r.held += r.now.Sub(r.arrivals[d.ID])
			r.refusals++
			left := c.first.Add(c.kind.deadline).Sub(r.now)
			if c.retried || left <= 0 {
				continue
			}
			c.retried = true
			r.at(r.now.Add(min(d.RetryAfter, left/3)), func() { r.arrive(c) })
		}
	}
}

func (r *replay) finish(id ID, c *client) {
	took := r.now.Sub(c.first)
	worth := 0.0
	switch {
	case took <= c.kind.target:
		worth = c.kind.worth
	case took <= c.kind.deadline:
		worth = c.kind.late
	}
	if worth > 0 {
		r.served++
		r.work += c.work
	}
	r.earned += worth
	pair := r.byKind[c.kind.route]
	r.byKind[c.kind.route] = [2]float64{pair[0] + worth, pair[1]}
	delete(r.clients, id)
	r.apply(r.line.Done(id, Completed, r.now))
}

// decline ends a request that the server refused; its client comes back once.
func (r *replay) decline(id ID, c *client) {
	result := Declined
	if r.blind {
		result = Failed
	}
	others := r.line.Done(id, result, r.now)
	r.apply(append(others, Decision{ID: id, Verb: Refuse, RetryAfter: 50 * time.Millisecond}))
}

func (r *replay) run() {
	// The clock of the line: requests that wait too long are found in time.
	const tick = 5 * time.Millisecond
	end := time.Unix(0, 0)
	for _, e := range r.events {
		if e.at.After(end) {
			end = e.at
		}
	}
	for t := time.Unix(0, 0); t.Before(end.Add(2 * time.Second)); t = t.Add(tick) {
		r.at(t, func() { r.apply(r.line.Advance(r.now)) })
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
}

// result is what callers got.
type result struct {
	payoff, served, lookup, booking, work float64
	// held is the mean time that refused requests were held.
	held time.Duration
}

func play(l line, seed uint64, load func(r *replay)) result {
	r := newReplay(l, seed)
	load(r)
	r.run()
	share := func(route string) float64 { return r.byKind[route][0] / r.byKind[route][1] }
	return result{r.earned / r.owed, float64(r.served) / float64(r.asked), share("lookup"), share("booking"), r.work.Seconds(), r.held / time.Duration(max(r.refusals, 1))}
}

const replaySlots = 6

func policy() line {
	q := New(DefaultConfig())
	q.SetSlots(replaySlots, time.Unix(0, 0))
	return q
}

// Guards against a line that collapses under lasting overload: the callers that are served
// in time must be about as many as the server can serve. A line without a policy answers
// nearly all of them late.
func TestLastingOverloadKeepsAnswersInTime(t *testing.T) {
	g := NewWithT(t)
	for _, overload := range []float64{1.2, 1.5, 2} {
		load := func(r *replay) { r.load(0, 30*time.Second, overload*replaySlots) }
		got, before := play(policy(), 7, load), play(&fifo{slots: replaySlots}, 7, load)
		t.Logf("load %.1f: payoff %.3f served %.3f lookup %.3f booking %.3f; without a policy %.3f", overload, got.payoff, got.served, got.lookup, got.booking, before.payoff)
		g.Expect(got.work).To(BeNumerically(">", 0.9*30*replaySlots), "goodput in slot seconds; the target is 90 % of capacity at twice the load")
		g.Expect(got.payoff).To(BeNumerically(">", 2*before.payoff))
		g.Expect(got.booking).To(BeNumerically(">=", got.lookup), "the higher rank is served first")
	}
}

// Guards against requests that are refused although a short burst leaves room to answer
// them before their deadline. The policy before refused whoever would miss the target.
func TestShortBurstIsServed(t *testing.T) {
	g := NewWithT(t)
	strict := func() line {
		config := DefaultConfig()
		config.LateShare = 0
		q := New(config)
		q.SetSlots(replaySlots, time.Unix(0, 0))
		return q
	}
	refused, refusedBefore := 0.0, 0.0
	for seed := range uint64(8) {
		load := func(r *replay) {
			r.load(0, 10*time.Second, 0.6*replaySlots)
			r.load(3*time.Second, 3*time.Second+500*time.Millisecond, 0.9*replaySlots)
		}
		got, before := play(policy(), seed, load), play(strict(), seed, load)
		t.Logf("seed %d: payoff %.3f served %.3f, before %.3f and %.3f", seed, got.payoff, got.served, before.payoff, before.served)
		refused, refusedBefore = refused+1-got.served, refusedBefore+1-before.served
	}
	g.Expect(refused).To(BeNumerically("<", refusedBefore*2/3))
}

// Guards against requests that wait until their deadline for nothing: the server turns to
// a third of its speed, so that what was expected when they came is wrong. The policy
// before looked at a request only when it arrived and at its deadline.
func TestHopelessRequestsAreRefusedEarly(t *testing.T) {
	g := NewWithT(t)
	unreviewed := func() line {
		config := DefaultConfig()
		config.ReviewInterval = 0
		q := New(config)
		q.SetSlots(replaySlots, time.Unix(0, 0))
		return q
	}
	load := func(r *replay) {
		r.load(0, 4*time.Second, 0.8*replaySlots)
		r.slowFrom, r.slow = time.Unix(2, 0), 3
	}
	for seed := range uint64(4) {
		got, before := play(policy(), seed, load), play(unreviewed(), seed, load)
		t.Logf("seed %d: refused after %v, served %.3f; before %v, %.3f", seed, got.held, got.served, before.held, before.served)
		g.Expect(got.held).To(BeNumerically("<", before.held))
		g.Expect(got.held).To(BeNumerically("<", 100*time.Millisecond), "half of the lookups' target")
		g.Expect(got.payoff).To(BeNumerically(">", before.payoff-0.02))
	}
}

// Guards against a policy that costs callers something when there is room for all.
func TestCalmLoadIsServedInTime(t *testing.T) {
	g := NewWithT(t)
	got := play(policy(), 3, func(r *replay) { r.load(0, 30*time.Second, 0.6*replaySlots) })
	t.Logf("payoff %.3f served %.3f", got.payoff, got.served)
	g.Expect(got.served).To(BeNumerically(">", 0.995))
	g.Expect(got.payoff).To(BeNumerically(">", 0.95))
}

// Guards against slots that stand idle while requests are refused: the server refuses a
// part of its requests at once, so that the line is shorter than it looks. The policy before
// counted each waiting request with its whole work.
func TestDeclinedRequestsLeaveNoSlotIdle(t *testing.T) {
	g := NewWithT(t)
	var got, before result
	for seed := range uint64(6) {
		load := func(r *replay) {
			r.declines = 0.4
			r.load(0, 20*time.Second, 2.2*replaySlots)
		}
		blind := func(r *replay) {
			load(r)
			r.blind = true
		}
		a, b := play(policy(), seed, load), play(policy(), seed, blind)
		t.Logf("seed %d: payoff %.3f work %.1f, before %.3f and %.1f", seed, a.payoff, a.work, b.payoff, b.work)
		got.payoff, before.payoff = got.payoff+a.payoff, before.payoff+b.payoff
		got.work, before.work = got.work+a.work, before.work+b.work
	}
	g.Expect(got.work).To(BeNumerically(">", before.work))
	g.Expect(got.payoff).To(BeNumerically(">=", before.payoff))
	g.Expect(got.work).To(BeNumerically(">", 0.9*6*20*replaySlots), "the target is 90 % of capacity at twice the load")
}
