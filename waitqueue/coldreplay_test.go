package waitqueue

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/coldstate"
	"github.com/basilway/basilway/placement"
)

// outage replays the return of two services after a power outage, in virtual time. Requests of the
// keyed parents call one of the children in the middle of their run.
type outage struct {
	rng               *rand.Rand
	now               time.Time
	events            events
	parents, children []*coldServer
	nextID            ID
	limited           bool // the queues keep the limit
	// served and offered count the requests of clients by the second of their first try.
	served, offered [outageSeconds]float64
}

// coldServer is a backend server with the queue and the state that the node beside it keeps.
type coldServer struct {
	speed       float64
	coldUntil   time.Time
	queue       *Queue
	tracker     *coldstate.Tracker
	arrived     []time.Time // while cold
	waiting     map[ID]func(Decision)
	reports     map[int]report // what the children last reported, by number
	outstanding map[int]int
}

type report struct {
	at      time.Time
	backlog int
	rate    float64
}

const (
	outageSeconds  = 26
	outageCold     = 8 * time.Second // how long a server is cold after its start
	outageAgain    = 20              // the second at which a fifth of the servers becomes cold again
	heartbeatEvery = 870 * time.Millisecond
	coldSlots      = 5
	parentWork     = 60 * time.Millisecond
	childWork      = 15 * time.Millisecond
	topUpWork      = 42 * time.Millisecond
	callShare      = 0.7
	outageLoad     = 1.2 // of what warm servers take
)

func newOutage(limited bool) *outage {
	o := &outage{rng: rand.New(rand.NewPCG(5, 5)), now: time.Unix(100, 0), limited: limited}
	for i := range 60 {
		s := &coldServer{
			coldUntil: o.now.Add(outageCold), queue: New(DefaultConfig()), tracker: coldstate.NewTracker(coldstate.DefaultConfig()),
			waiting: map[ID]func(Decision){}, reports: map[int]report{}, outstanding: map[int]int{},
		}
		s.queue.AssumeFullWindow(o.now)
		s.queue.SetSlots(coldSlots, o.now)
		if i < 47 {
			s.speed, o.parents = []float64{0.6, 1, 1.4}[i%3], append(o.parents, s)
		} else {
			s.speed, o.children = []float64{0.5, 1, 1, 1.5}[i%4], append(o.children, s)
		}
		o.refresh(s)
		o.after(time.Duration(o.rng.Int64N(int64(heartbeatEvery))), func() { o.heartbeat(s) })
	}
	return o
}

func (o *outage) after(d time.Duration, do func()) { heap.Push(&o.events, event{o.now.Add(d), do}) }

func (o *outage) heartbeat(s *coldServer) {
	left := s.coldUntil.Sub(o.now)
	o.after(time.Duration(o.rng.IntN(100))*time.Millisecond, func() {
		s.tracker.Heartbeat(left, o.now)
		o.refresh(s)
	})
	o.after(heartbeatEvery, func() { o.heartbeat(s) })
}

func (o *outage) refresh(s *coldServer) {
	if o.limited {
		o.deliver(s, s.queue.SetColdLimit(tuulBound, s.tracker.State(o.now) != coldstate.Warm, o.now))
	}
}

func (o *outage) deliver(s *coldServer, decisions []Decision) {
	for _, d := range decisions {
		if decided := s.waiting[d.ID]; decided != nil {
			delete(s.waiting, d.ID)
			decided(d)
		}
	}
}

// run offers a request to s. If it runs, work is called with the function that ends it, else refused.
func (o *outage) run(s *coldServer, it Item, work func(end func(Result)), refused func(Decision)) {
	o.refresh(s)
	o.nextID++
	it.ID = o.nextID
	decided := func(d Decision) {
		if d.Action == Refuse {
			refused(d)
			return
		}
		o.after(time.Duration(o.rng.IntN(20))*time.Millisecond/10, func() {
			if o.now.Before(s.coldUntil) {
				s.arrived = append(s.arrived, o.now)
			}
			started, expected := o.now, s.queue.Work(it.Route)
			work(func(r Result) {
				o.deliver(s, s.queue.Done(it.ID, r, o.now))
				if s.tracker.Ask(s.tracker.Completed(o.now.Sub(started), expected, tuulBound), o.now) {
					o.after(5*time.Millisecond, func() {
						s.tracker.Response(s.coldUntil.Sub(o.now), o.now, o.now)
						o.refresh(s)
					})
				}
			})
		})
	}
	d, others := s.queue.Offer(it, o.now)
	o.deliver(s, others)
	if d.Action == Wait {
		s.waiting[it.ID] = decided
		return
	}
	decided(d)
}

// took returns how long work takes on s: four times as long when it has just become cold.
func (o *outage) took(s *coldServer, work time.Duration) time.Duration {
	factor := 1 + 3*max(0, s.coldUntil.Sub(o.now).Seconds())/outageCold.Seconds()
	return time.Duration(float64(work) * factor / s.speed * (0.5 + o.rng.Float64()))
}

// child sends a request of the node beside from to the children until one takes it, as dispatch does.
func (o *outage) child(from *coldServer, it Item, work time.Duration, tried map[int]bool, done func(ok bool, after time.Duration)) {
	var candidates []placement.Candidate
	var numbers []int
	for i := range o.children {
		if r := from.reports[i]; !tried[i] {
			candidates = append(candidates, placement.Candidate{Slots: coldSlots, Work: work, Reported: r.backlog, Age: o.now.Sub(r.at), Rate: r.rate, Outstanding: from.outstanding[i]})
			numbers = append(numbers, i)
		}
	}
	i := numbers[placement.Choose(candidates, o.rng)]
	s := o.children[i]
	from.outstanding[i]++
	answered := func() {
		from.outstanding[i]--
		from.reports[i] = report{o.now, s.queue.Running() + s.queue.Waiting(), s.queue.ColdRate()}
	}
	o.run(s, it, func(end func(Result)) {
		o.after(o.took(s, work), func() {
			end(Completed)
			answered()
			done(o.now.Before(it.Deadline), 0)
		})
	}, func(d Decision) {
		answered()
		if tried[i] = true; len(tried) >= 8 {
			done(false, d.RetryAfter)
			return
		}
		o.child(from, it, work, tried, done)
	})
}

// client sends a request of a client up to three times, as it is told.
func (o *outage) client(try func(result func(ok, rejected bool, after time.Duration)), first, deadline time.Time, tries int) {
	second := int(first.Unix() - 100)
	if tries == 0 {
		o.offered[second]++
	}
	try(func(ok, rejected bool, after time.Duration) {
		if ok && o.now.Before(deadline) {
			o.served[second]++
		}
		longest := deadline.Sub(o.now) / 3
		if rejected && tries < 2 && longest > 0 {
			o.after(min(after, longest), func() { o.client(try, first, deadline, tries+1) })
		}
	})
}

func (o *outage) parentRequest() {
	s, first := o.parents[o.rng.IntN(len(o.parents))], o.now
	it := Item{Route: "status-check", Fingerprint: o.rng.Uint64(), Priority: 1, Target: first.Add(200 * time.Millisecond), Deadline: first.Add(1200 * time.Millisecond)}
	calls := o.rng.Float64() < callShare
	o.client(func(result func(ok, rejected bool, after time.Duration)) {
		o.run(s, it, func(end func(Result)) {
			finish := func(ok bool, _ time.Duration) {
				if !ok {
					end(Failed)
					result(false, false, 0)
					return
				}
				o.after(o.took(s, parentWork/2), func() {
					end(Completed)
					result(true, false, 0)
				})
			}
			o.after(o.took(s, parentWork/2), func() {
				if !calls {
					finish(true, 0)
					return
				}
				call := Item{Route: "balance", Nested: true, Target: o.now.Add(60 * time.Millisecond), Deadline: o.now.Add(200 * time.Millisecond)}
				o.child(s, call, childWork, map[int]bool{}, finish)
			})
		}, func(d Decision) { result(false, true, d.RetryAfter) })
	}, first, it.Deadline, 0)
}

func (o *outage) topUp() {
	from, first := o.parents[o.rng.IntN(len(o.parents))], o.now
	it := Item{Route: "credit-topup", Fingerprint: o.rng.Uint64(), Target: first.Add(150 * time.Millisecond), Deadline: first.Add(1200 * time.Millisecond)}
	o.client(func(result func(ok, rejected bool, after time.Duration)) {
		o.child(from, it, topUpWork, map[int]bool{}, func(ok bool, after time.Duration) { result(ok, !ok, after) })
	}, first, it.Deadline, 0)
}

// arrivals repeats do at random times with a mean rate.
func (o *outage) arrivals(perSecond float64, do func()) {
	o.after(time.Duration(o.rng.ExpFloat64()/perSecond*float64(time.Second)), func() {
		if o.now.Unix()-100 < outageSeconds-2 {
			do()
			o.arrivals(perSecond, do)
		}
	})
}

func capacity(servers []*coldServer, work time.Duration) (perSecond float64) {
	for _, s := range servers {
		perSecond += coldSlots * s.speed / work.Seconds()
	}
	return perSecond
}

func (o *outage) play() {
	parents := outageLoad * capacity(o.parents, parentWork)
	o.arrivals(parents, o.parentRequest)
	// What the calls leave of the children's capacity.
	o.arrivals(outageLoad*max(0, capacity(o.children, topUpWork)-parents*callShare*childWork.Seconds()/topUpWork.Seconds()), o.topUp)
	o.after(outageAgain*time.Second, func() {
		for i, s := range append(o.parents[:len(o.parents):len(o.parents)], o.children...) {
			if i%5 == 0 {
				s.coldUntil = o.now.Add(outageCold)
			}
		}
	})
	for len(o.events) > 0 && o.now.Unix()-100 < outageSeconds {
		e := heap.Pop(&o.events).(event)
		o.now = e.at
		e.do()
	}
}

// shareServed returns the share of the requests that were served, of those that clients first sent
// in some seconds.
func (o *outage) shareServed(from, until int) float64 {
	served, offered := 0.0, 0.0
	for second := from; second < until; second++ {
		served, offered = served+o.served[second], offered+o.offered[second]
	}
	return served / offered
}

func (o *outage) mostInASecond() (most int) {
	for _, s := range append(o.parents[:len(o.parents):len(o.parents)], o.children...) {
		most = max(most, mostIn(s.arrived, time.Second))
	}
	return most
}

// Guards against a cold server that gets more than its bound, when all are cold at once after a power
// outage or some become cold again under load, and against service that does not recover when they
// are warm: the load is 1.2 times what warm servers take, and clients retry twice as told.
func TestServersGetNoMoreThanTheirBoundAfterAPowerOutage(t *testing.T) {
	g := NewWithT(t)
	o, baseline := newOutage(true), newOutage(false)
	o.play()
	baseline.play()
	t.Logf("most in a second %d, without a limit %d", o.mostInASecond(), baseline.mostInASecond())
	for second := range outageSeconds - 2 {
		t.Logf("second %d: served %.3f, without a limit %.3f", second, o.shareServed(second, second+1), baseline.shareServed(second, second+1))
	}
	g.Expect(baseline.mostInASecond()).To(BeNumerically(">", tuulBound), "the load exceeds the bound")
	g.Expect(o.mostInASecond()).To(BeNumerically("<=", tuulBound))
	used := 0
	for _, s := range o.children {
		for _, at := range s.arrived {
			if since := at.Sub(time.Unix(100, 0)); since > 3*time.Second && since < 7*time.Second {
				used++
			}
		}
	}
	g.Expect(float64(used)/4).To(BeNumerically(">", 0.9*36/1.1*float64(len(o.children))), "requests a second; the calls need all that cold servers may get")
	g.Expect(o.shareServed(15, 20)).To(BeNumerically(">", 0.97*baseline.shareServed(15, 20)), "recovered 15 s after the outage")
}
