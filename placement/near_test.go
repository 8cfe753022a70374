package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/waitqueue"
)

// The replayed load: one route's requests from senders in four availability zones.
const (
	replayWork     = 42 * time.Millisecond
	replayTarget   = 150 * time.Millisecond
	replayDeadline = 1200 * time.Millisecond
	replaySlots    = 5
	replaySenders  = 60
	replayZones    = 4
	replayTries    = 8
	replaySeconds  = 9
	replaySeeds    = 3
	// Views are between replayViewMin and replayViewMin+replayViewSpread old.
	replayViewMin, replayViewSpread = 50 * time.Millisecond, 250 * time.Millisecond
	// One way between availability zones, and within one.
	replayFar, replayLocal = 500 * time.Microsecond, 100 * time.Microsecond
)

// zoneReplay is a load: the speeds of the servers by zone, the load as a fraction of the
// capacity of all servers, and the factor by which the senders of zone 0 send more between a
// third and two thirds of the time.
type zoneReplay struct {
	name   string
	speeds [replayZones][]float64
	load   float64
	burst  float64
	// maxLeft bounds the share of requests that leave their zone.
	maxLeft float64
}

// zoneResult holds shares of all requests.
type zoneResult struct{ inTime, refused, left float64 }

// add adds the result of one of replaySeeds runs.
func (z zoneResult) add(o zoneResult) zoneResult {
	return zoneResult{z.inTime + o.inTime/replaySeeds, z.refused + o.refused/replaySeeds, z.left + o.left/replaySeeds}
}

// chooser chooses one of the candidates, of which those that are not Near are in another
// availability zone.
type chooser func(cs []Candidate, target time.Duration, rng *rand.Rand) int

// chooseWithCost is the rule for deployments that do not prefer their own zone.
func chooseWithCost(cs []Candidate, _ time.Duration, rng *rand.Rand) int {
	for i := range cs {
		if !cs[i].Near {
			cs[i].Overhead += 8 * time.Millisecond
		}
	}
	return Choose(cs, rng)
}

type replayServer struct {
	zone  int
	work  time.Duration
	queue *waitqueue.Queue
	// history holds the backlog every 10 ms.
	history []int
}

type replayView struct {
	at, until   time.Duration
	backlog     int
	outstanding int
	refusals    Refusals
	overhead    float64
	overheadAt  time.Duration
}

type replayRequest struct {
	id      waitqueue.ID
	sender  int
	at      time.Duration
	tries   int
	visited uint // bits of servers
	left    bool
	server  int
	sentAt  time.Duration
	// size is the work relative to the route's mean.
	size float64
}

type replayEvent struct {
	at time.Duration
	do func()
}

type replayEvents []replayEvent

func (e replayEvents) Len() int           { return len(e) }
func (e replayEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e replayEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *replayEvents) Push(x any)        { *e = append(*e, x.(replayEvent)) }
func (e *replayEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

type replayRun struct {
	choose chooser
	// arrivals draws what does not depend on the rule: arrival times and work.
	arrivals *rand.Rand
	rng      *rand.Rand
	now      time.Duration
	events   replayEvents
	servers  []*replayServer
	views    [replaySenders][]replayView
	requests map[waitqueue.ID]*replayRequest
	count    int
	inTime   int
	refused  int
	left     int
}

var replayStart = time.Unix(1, 0)

func (r *replayRun) after(d time.Duration, do func()) {
	heap.Push(&r.events, replayEvent{r.now + d, do})
}

// replayZoneLoad replays a load on queues like those beside the servers.
func replayZoneLoad(p zoneReplay, seed uint64, choose chooser) zoneResult {
	r := &replayRun{choose: choose, arrivals: rand.New(rand.NewPCG(seed, 1)), rng: rand.New(rand.NewPCG(seed, 2)), requests: map[waitqueue.ID]*replayRequest{}}
	capacity := 0.0
	for zone, speeds := range p.speeds {
		for _, speed := range speeds {
			s := &replayServer{zone: zone, work: time.Duration(float64(replayWork) / speed), queue: waitqueue.New(waitqueue.DefaultConfig())}
			s.queue.SetSlots(replaySlots, replayStart)
			r.servers = append(r.servers, s)
			capacity += replaySlots * speed / replayWork.Seconds()
		}
	}
	for i := range r.views {
		r.views[i] = make([]replayView, len(r.servers))
		r.scheduleArrival(p, capacity, i)
	}
	r.sample()
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(replayEvent)
		r.now = e.at
		e.do()
		if r.now > (replaySeconds+2)*time.Second {
			break
		}
	}
	n := float64(r.count)
	return zoneResult{float64(r.inTime) / n, float64(r.refused) / n, float64(r.left) / n}
}

// sample records the backlogs of all servers every 10 ms.
func (r *replayRun) sample() {
	for _, s := range r.servers {
		s.history = append(s.history, s.queue.Running()+s.queue.Waiting())
	}
	r.after(10*time.Millisecond, r.sample)
}

func (r *replayRun) scheduleArrival(p zoneReplay, capacity float64, sender int) {
	rate := p.load * capacity / replaySenders
	third := time.Duration(replaySeconds) * time.Second / 3
	if p.burst > 0 && sender%replayZones == 0 && r.now > third && r.now < 2*third {
		rate *= p.burst
	}
	r.after(time.Duration(r.arrivals.ExpFloat64()/rate*float64(time.Second)), func() {
		if r.now > replaySeconds*time.Second {
			return
		}
		r.scheduleArrival(p, capacity, sender)
		r.count++
		req := &replayRequest{id: waitqueue.ID(r.count), sender: sender, at: r.now, size: 0.7 + 0.6*r.arrivals.Float64()}
		r.requests[req.id] = req
		r.try(req)
	})
}

// try sends a request to a server that was not tried yet, or counts it as refused.
func (r *replayRun) try(req *replayRequest) {
	var candidates []Candidate
	var at []int
	for i, s := range r.servers {
		if req.visited&(1<<i) != 0 {
			continue
		}
		v := &r.views[req.sender][i]
		if r.now >= v.until {
			v.at = max(r.now-replayViewMin, 0)
			v.backlog = s.history[min(int(v.at/(10*time.Millisecond)), len(s.history)-1)]
			v.until = r.now + time.Duration(r.rng.Float64()*float64(replayViewSpread))
		}
		candidates = append(candidates, Candidate{
			Slots: replaySlots, Reported: v.backlog, Age: r.now - v.at, Outstanding: v.outstanding, Work: s.work,
			Overhead:    time.Duration(v.overhead / (1 + (r.now-v.overheadAt).Seconds()/1.5)),
			RefusalRate: v.refusals.Rate(replayStart.Add(r.now)), Near: s.zone == req.sender%replayZones,
		})
		at = append(at, i)
	}
	target := req.at + replayTarget - r.now
	if len(candidates) == 0 || req.tries == replayTries || req.tries > 0 && target <= 0 {
		r.refused++
		return
	}
	req.tries++
	req.server = at[r.choose(candidates, target, r.rng)]
	req.visited |= 1 << req.server
	req.sentAt = r.now
	if r.servers[req.server].zone != req.sender%replayZones && !req.left {
		req.left = true
		r.left++
	}
	r.views[req.sender][req.server].outstanding++
	r.after(r.latency(req), func() { r.arrive(req) })
}

func (r *replayRun) latency(req *replayRequest) time.Duration {
	if r.servers[req.server].zone != req.sender%replayZones {
		return replayFar
	}
	return replayLocal
}

func (r *replayRun) arrive(req *replayRequest) {
	s := r.servers[req.server]
	d, others := s.queue.Offer(waitqueue.Item{
		ID: req.id, Route: "r", Target: replayStart.Add(req.at + replayTarget), Deadline: replayStart.Add(req.at + replayDeadline),
	}, replayStart.Add(r.now))
	r.apply(s, append(others, d))
}

// apply carries out the decisions of a server's queue.
func (r *replayRun) apply(s *replayServer, decisions []waitqueue.Decision) {
	for _, d := range decisions {
		req := r.requests[d.ID]
		switch d.Action {
		case waitqueue.Run:
			work := time.Duration(float64(s.work) * req.size)
			r.after(work, func() {
				r.apply(s, s.queue.Done(req.id, waitqueue.Completed, replayStart.Add(r.now)))
				r.after(r.latency(req), func() { r.served(req) })
			})
		case waitqueue.Refuse:
			r.after(r.latency(req), func() {
				v := &r.views[req.sender][req.server]
				v.outstanding--
				v.refusals.Observe(true, replayStart.Add(r.now))
				r.try(req)
			})
		}
	}
}

func (r *replayRun) served(req *replayRequest) {
	v := &r.views[req.sender][req.server]
	v.outstanding--
	v.refusals.Observe(false, replayStart.Add(r.now))
	beyond := float64(max(r.now-req.sentAt-r.servers[req.server].work, 0))
	v.overhead += 0.2 * (beyond - v.overhead)
	v.overheadAt = r.now
	if r.now-req.at <= replayTarget {
		r.inTime++
	}
}

// Guards against traffic between availability zones that the load does not call for, and
// against fewer responses in time because requests stay in a zone that is full, has no servers
// or only a slow one. The rule for other deployments is the measure.
func TestRequestsStayInTheirZoneWhileItHasCapacity(t *testing.T) {
	g := NewGomega(func(message string, _ ...int) { t.Error(message) })
	uneven := [replayZones][]float64{{0.5, 1, 1, 1.5}, {0.5, 1, 1.5}, {1, 1, 0.5, 1.5}, {1, 0.5, 1}}
	noServers, oneSlow := uneven, uneven
	noServers[0], oneSlow[0] = nil, []float64{0.5}
	var table strings.Builder
	defer func() { t.Log("in time, refused, left the zone (%), each before and after" + table.String()) }()
	for _, p := range []zoneReplay{
		{name: "0.5 of capacity", speeds: uneven, load: 0.5, maxLeft: 0.03},
		{name: "0.8 of capacity", speeds: uneven, load: 0.8, maxLeft: 0.25},
		{name: "1.0 of capacity", speeds: uneven, load: 1, maxLeft: 0.75},
		{name: "1.3 of capacity", speeds: uneven, load: 1.3, maxLeft: 0.95},
		{name: "0.6, burst of 1.9 in one zone", speeds: uneven, load: 0.6, burst: 1.9, maxLeft: 0.12},
		// A quarter of the requests have no server in their zone.
		{name: "0.6, a zone without servers", speeds: noServers, load: 0.6, maxLeft: 0.3},
		{name: "0.6, a zone with one slow server", speeds: oneSlow, load: 0.6, maxLeft: 0.25},
	} {
		var before, after zoneResult
		for seed := range uint64(replaySeeds) {
			before = before.add(replayZoneLoad(p, seed, chooseWithCost))
			after = after.add(replayZoneLoad(p, seed, ChooseNear))
		}
		fmt.Fprintf(&table, "\n| %-32s | %.1f, %.1f | %.1f, %.1f | %.1f, %.1f |", p.name,
			100*before.inTime, 100*after.inTime, 100*before.refused, 100*after.refused, 100*before.left, 100*after.left)
		g.Expect(after.inTime).To(BeNumerically(">=", before.inTime-0.01), p.name)
		g.Expect(after.refused).To(BeNumerically("<=", before.refused+0.01), p.name)
		g.Expect(after.left).To(BeNumerically("<=", min(p.maxLeft, before.left)), p.name)
	}
}

// Guards against a server that refuses what its zone sends: the zone's requests must leave it
// although its reported load is low, and return once it accepts again.
func TestRefusalsSendRequestsToOtherZones(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(3, 3))
	var refusals Refusals
	leaving := func(now time.Time) int {
		left := 0
		for range 200 {
			cs := []Candidate{
				{Slots: replaySlots, Work: replayWork, Near: true, RefusalRate: refusals.Rate(now)},
				{Slots: replaySlots, Work: replayWork},
				{Slots: replaySlots, Work: replayWork},
			}
			if ChooseNear(cs, replayTarget, rng) != 0 {
				left++
			}
		}
		return left
	}
	g.Expect(leaving(replayStart)).To(BeZero())
	for range 30 {
		refusals.Observe(true, replayStart)
	}
	g.Expect(leaving(replayStart)).To(BeNumerically(">", 190))
	g.Expect(leaving(replayStart.Add(3 * time.Second))).To(BeNumerically("<", 30))
}
