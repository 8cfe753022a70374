package capacity

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/waitqueue"
)

const (
	simSlots = 9
	simStep  = 5 * time.Millisecond
	simTime  = 60 * time.Second
	// The server is slow in simSlowFrom to simSlowUntil in the scenarios with a step.
	simSlowFrom, simSlowUntil = 20 * time.Second, 27 * time.Second
)

// simRoutes are two routes with their mean work, its spread (standard deviation of the logarithm),
// and the limits of their callers.
var simRoutes = []struct {
	name             string
	work, spread     float64
	target, deadline time.Duration
}{
	{"short", 0.060, 0.6, 200 * time.Millisecond, 1200 * time.Millisecond},
	{"long", 0.140, 0.3, 400 * time.Millisecond, 1200 * time.Millisecond},
}

// scenario is a server and its load.
type scenario struct {
	name string
	// load is the mean work that arrives, in slots.
	load float64
	// rate is the server's speed with a number of requests running.
	rate func(at time.Duration, running int, noisy bool) float64
	// reports is set if the server states its speed, apart from running requests.
	reports bool
}

func step(factor float64) func(time.Duration, int, bool) float64 {
	return func(at time.Duration, _ int, _ bool) float64 {
		if at >= simSlowFrom && at < simSlowUntil {
			return 1 / factor
		}
		return 1
	}
}

func noise(_ time.Duration, _ int, noisy bool) float64 {
	if noisy {
		return 1.0 / 3
	}
	return 1
}

// knee slows the server to a quarter between 60 % of its slots and all of them.
func knee(_ time.Duration, running int, _ bool) float64 {
	over := max(0, float64(running)-0.6*simSlots) / (0.4 * simSlots)
	return 1 / (1 + 3*over)
}

var scenarios = []scenario{
	{"steady", 0.7 * simSlots, step(1), false},
	{"no knee, overload", 1.2 * simSlots, step(1), false},
	{"5 times slower", 0.6 * simSlots, step(5), false},
	{"12 times slower", 0.6 * simSlots, step(12), false},
	{"noise", 0.55 * simSlots, noise, false},
	{"noise, stated", 0.55 * simSlots, noise, true},
	{"knee at 60 %", 0.55 * simSlots, knee, false},
	{"knee, overload", 0.9 * simSlots, knee, false},
}

// policy limits concurrency.
type policy interface {
	start(id waitqueue.ID, route string, now time.Time)
	// done is called for a completed request with its time relative to the mean of its route.
	done(id waitqueue.ID, ratio float64, running int, now time.Time)
	reported(percent float64, now time.Time)
	advance(now time.Time)
	limit() int
	speed() float64
	usual() map[string]time.Duration
}

// fixed runs as many requests as the server has slots. Other policies embed it.
type fixed struct{}

func (fixed) start(waitqueue.ID, string, time.Time)      {}
func (fixed) done(waitqueue.ID, float64, int, time.Time) {}
func (fixed) reported(float64, time.Time)                {}
func (fixed) advance(time.Time)                          {}
func (fixed) limit() int                                 { return simSlots }
func (fixed) speed() float64                             { return 1 }
func (fixed) usual() map[string]time.Duration            { return nil }
func bounded(limit float64) float64                      { return min(max(limit, 1), simSlots) }

// aimd adds one per limit's worth of requests in time, and takes a tenth after one that took more
// than twice the mean.
type aimd struct {
	fixed
	now float64
}

func (p *aimd) done(_ waitqueue.ID, ratio float64, running int, _ time.Time) {
	if ratio > 2 {
		p.now = bounded(p.now * 0.9)
	} else if float64(running) >= p.now/2 {
		p.now = bounded(p.now + 1/p.now)
	}
}
func (p *aimd) limit() int { return int(p.now) }

// gradient scales the limit by the long-term mean time over the short-term one, with a tolerance.
type gradient struct {
	fixed
	now, long, short float64
}

func (p *gradient) done(_ waitqueue.ID, ratio float64, running int, _ time.Time) {
	p.long += (ratio - p.long) / 600
	p.short += (ratio - p.short) / 10
	if float64(running) < p.now/2 {
		return
	}
	slope := min(max(1.5*p.long/p.short, 0.5), 1)
	p.now = bounded(0.8*p.now + 0.2*(p.now*slope+math.Sqrt(p.now)))
}
func (p *gradient) limit() int { return int(p.now) }

// little is Little's law: the greatest throughput times the lowest latency, both of 10 s, and a quarter
// more. Latencies are means of 10 requests.
type little struct {
	fixed
	now       float64
	sum       float64
	count     int
	latencies []float64
	started   time.Time
	rates     []float64
}

func (p *little) done(_ waitqueue.ID, ratio float64, _ int, now time.Time) {
	if p.started.IsZero() {
		p.started = now
	}
	p.sum += ratio
	if p.count++; p.count < 10 {
		return
	}
	p.latencies = append(p.latencies, p.sum/10)
	p.rates = append(p.rates, 10/max(now.Sub(p.started).Seconds(), 0.01))
	p.sum, p.count, p.started = 0, 0, now
	if len(p.rates) > 100 {
		p.rates, p.latencies = p.rates[1:], p.latencies[1:]
	}
	lowest, most := p.latencies[0], 0.0
	for i := range p.rates {
		lowest, most = min(lowest, p.latencies[i]), max(most, p.rates[i])
	}
	// The mean work of a request turns the relative latency into seconds.
	p.now = bounded(math.Ceil(1.25 * most * lowest * (simRoutes[0].work + simRoutes[1].work) / 2))
}
func (p *little) limit() int { return int(p.now) }

// learned is this package's Learner.
type learned struct{ *Learner }

func (p learned) start(id waitqueue.ID, route string, now time.Time) { p.Start(ID(id), route, now) }
func (p learned) done(id waitqueue.ID, _ float64, _ int, now time.Time) {
	p.Done(ID(id), true, now)
}
func (p learned) reported(percent float64, now time.Time) { p.Reported(percent, now) }
func (p learned) advance(now time.Time)                   { p.Advance(now) }
func (p learned) limit() int                              { return p.Estimate().InForce }
func (p learned) usual() map[string]time.Duration         { return p.Usual() }
func (p learned) speed() float64                          { return p.Estimate().Speed }

var policies = []struct {
	name string
	make func(now time.Time) policy
}{
	{"fixed slots", func(time.Time) policy { return fixed{} }},
	{"AIMD", func(time.Time) policy { return &aimd{now: simSlots} }},
	{"gradient", func(time.Time) policy { return &gradient{now: simSlots, long: 1, short: 1} }},
	{"Little, lowest latency", func(time.Time) policy { return &little{now: simSlots} }},
	{"learned", func(now time.Time) policy { return learned{New(DefaultConfig(), simSlots, now)} }},
}

// simRequest is a request of the simulation.
type simRequest struct {
	route        int
	arrived, run time.Time
	left         float64 // work in seconds
}

// simResult is the result of a simulation: shares of the requests, and means.
type simResult struct {
	inTarget, late, timeout, refused float64
	// limit is the mean limit after 10 s, slots where the server is not slow.
	limit float64
	// slowAfter and recoveredAfter are how long after the steps the speed was below a half and above
	// 0.8; 0 if never.
	slowAfter, recoveredAfter time.Duration
	lowestSpeed               float64
	// highestSlow is the highest speed from 1.5 s after the step until its end.
	highestSlow float64
	changes     int // of the speed by more than a half
}

func simulate(s scenario, p policy, seed uint64) simResult {
	rng := rand.New(rand.NewPCG(seed, 7))
	begin := time.Unix(1000, 0)
	q := waitqueue.New(waitqueue.DefaultConfig())
	q.SetSlots(p.limit(), begin)
	requests, running := map[waitqueue.ID]*simRequest{}, map[waitqueue.ID]*simRequest{}
	var result simResult
	var id waitqueue.ID
	var offered, limits, samples float64
	now, noisyUntil, quietUntil := begin, begin, begin
	result.lowestSpeed = 1
	apply := func(decisions []waitqueue.Decision) {
		for _, d := range decisions {
			switch d.Action {
			case waitqueue.Run:
				running[d.ID] = requests[d.ID]
				running[d.ID].run = now
				p.start(d.ID, simRoutes[requests[d.ID].route].name, now)
			case waitqueue.Refuse:
				result.refused++
				delete(requests, d.ID)
			}
		}
	}
	speed := 1.0
	for ; now.Sub(begin) < simTime; now = now.Add(simStep) {
		at := now.Sub(begin)
		if !now.Before(quietUntil) {
			// Spells of 400 ms take a fifth of the time. They don't adjoin: two together are 800 ms
			// long, which may count as a change.
			noisyUntil = now.Add(400 * time.Millisecond)
			quietUntil = noisyUntil.Add(400*time.Millisecond + time.Duration(rng.ExpFloat64()*1.2*float64(time.Second)))
		}
		rate := s.rate(at, len(running), now.Before(noisyUntil))
		var ended []waitqueue.ID
		for n, r := range running {
			if r.left -= simStep.Seconds() * rate; r.left <= 0 {
				ended = append(ended, n)
			}
		}
		slices.Sort(ended)
		for _, n := range ended {
			r := running[n]
			route := simRoutes[r.route]
			switch took := now.Sub(r.arrived); {
			case took <= route.target:
				result.inTarget++
			case took <= route.deadline:
				result.late++
			default:
				result.timeout++
			}
			p.done(n, now.Sub(r.run).Seconds()/route.work, len(running), now)
			if s.reports {
				p.reported(100/rate, now)
			}
			delete(running, n)
			delete(requests, n)
			apply(q.Done(n, waitqueue.Completed, now))
		}
		mean := (simRoutes[0].work + simRoutes[1].work) / 2
		for arrivals := poisson(rng, s.load/mean*simStep.Seconds()); arrivals > 0; arrivals-- {
			id++
			offered++
			r := &simRequest{route: rng.IntN(2), arrived: now}
			route := simRoutes[r.route]
			r.left = route.work * math.Exp(route.spread*rng.NormFloat64()-route.spread*route.spread/2)
			requests[id] = r
			d, others := q.Offer(waitqueue.Item{ID: id, Route: route.name, Target: now.Add(route.target), Deadline: now.Add(route.deadline)}, now)
			apply(append(others, d))
		}
		p.advance(now)
		if limit := p.limit(); limit != q.Slots() {
			apply(q.SetSlots(limit, now))
		}
		if next := p.speed(); next != speed {
			if math.Abs(math.Log2(next/speed)) > math.Log2(1.5) {
				result.changes++
			}
			speed = next
			apply(q.SetSpeed(speed, p.usual(), now))
		}
		if at > 10*time.Second {
			limits += float64(p.limit())
			samples++
			result.lowestSpeed = min(result.lowestSpeed, speed)
		}
		if at >= simSlowFrom+1500*time.Millisecond && at < simSlowUntil {
			result.highestSlow = max(result.highestSlow, speed)
		}
		if at >= simSlowFrom && result.slowAfter == 0 && speed < 0.5 {
			result.slowAfter = at - simSlowFrom
		}
		if at >= simSlowUntil && result.recoveredAfter == 0 && speed > 0.8 {
			result.recoveredAfter = at - simSlowUntil
		}
	}
	result.limit = limits / samples
	for _, share := range []*float64{&result.inTarget, &result.late, &result.timeout, &result.refused} {
		*share /= offered
	}
	return result
}

func poisson(rng *rand.Rand, mean float64) int {
	n, p := 0, rng.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= rng.Float64()
	}
	return n
}

// simSeeds is the number of runs over which a figure is averaged.
const simSeeds = 10

func average(s scenario, make func(time.Time) policy) simResult {
	var sum simResult
	sum.lowestSpeed = 1
	for seed := range uint64(simSeeds) {
		r := simulate(s, make(time.Unix(1000, 0)), seed)
		sum.inTarget += r.inTarget / simSeeds
		sum.late += r.late / simSeeds
		sum.timeout += r.timeout / simSeeds
		sum.refused += r.refused / simSeeds
		sum.limit += r.limit / simSeeds
		sum.slowAfter = max(sum.slowAfter, r.slowAfter)
		sum.recoveredAfter = max(sum.recoveredAfter, r.recoveredAfter)
		sum.lowestSpeed = min(sum.lowestSpeed, r.lowestSpeed)
		sum.highestSlow = max(sum.highestSlow, r.highestSlow)
		sum.changes += r.changes
	}
	return sum
}

// Guards against a choice of policy that loses requests where the server has no knee, serves fewer
// than fixed slots where it has one, or follows changes too late.
func TestPoliciesCompared(t *testing.T) {
	g := NewWithT(t)
	results := map[string]map[string]simResult{}
	var table strings.Builder
	for _, s := range scenarios {
		results[s.name] = map[string]simResult{}
		for _, p := range policies {
			r := average(s, p.make)
			results[s.name][p.name] = r
			fmt.Fprintf(&table, "| %s | %s | %.1f | %.1f | %.1f | %.1f | %.1f |\n", s.name, p.name, 100*r.inTarget, 100*r.late, 100*r.timeout, 100*r.refused, r.limit)
			if p.name == "learned" {
				fmt.Fprintf(&table, "  speed below half after %v, above 0.8 after %v, lowest %.2f, highest while slow %.2f, %d changes\n", r.slowAfter, r.recoveredAfter, r.lowestSpeed, r.highestSlow, r.changes)
			}
		}
	}
	t.Logf("scenario, policy, %% in target, late, after the deadline, refused, mean limit\n%s", table.String())
	for _, s := range scenarios {
		own, slots := results[s.name]["learned"], results[s.name]["fixed slots"]
		switch {
		case strings.HasPrefix(s.name, "knee"):
			for name, other := range results[s.name] {
				g.Expect(own.inTarget).To(BeNumerically(">=", other.inTarget), "%s, %s", s.name, name)
			}
		case strings.HasSuffix(s.name, "slower"):
			g.Expect(own.slowAfter).To(And(BeNumerically(">", 0), BeNumerically("<=", time.Second)), s.name)
			g.Expect(own.recoveredAfter).To(And(BeNumerically(">", 0), BeNumerically("<=", 2*time.Second)), s.name)
			g.Expect(own.highestSlow).To(BeNumerically("<", 0.6), s.name)
		default:
			g.Expect(own.changes).To(BeZero(), s.name)
			g.Expect(own.inTarget).To(BeNumerically(">=", slots.inTarget-0.01), s.name)
			g.Expect(own.limit).To(BeNumerically(">=", 0.95*simSlots), s.name)
		}
	}
}
