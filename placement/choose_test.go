package placement

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// simulateBalancing simulates senders that choose among servers and know only the backlogs
// that came with the responses to their own requests. It returns the highest utilization of
// a server and the share of requests that wait for more than half of their work time.
func simulateBalancing(choose func([]Candidate, *rand.Rand) int) (busiest, waited float64) {
	const (
		servers, senders, slots = 18, 100, 4
		perSecond, seconds      = 620.0, 20
	)
	rng := rand.New(rand.NewPCG(5, 5))
	speeds := []float64{0.6, 1, 1.4}
	work := func(i int) time.Duration {
		return time.Duration(float64(75*time.Millisecond) / speeds[i%len(speeds)])
	}
	freeAt := make([][]time.Time, servers) // when each slot becomes free
	for i := range freeAt {
		freeAt[i] = make([]time.Time, slots)
	}
	type report struct {
		at      time.Time
		backlog int
	}
	reports := make([][servers]report, senders)
	used := make([]time.Duration, servers)
	now, late, count := time.Unix(0, 0), 0, 0
	for now.Before(time.Unix(seconds, 0)) {
		now = now.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		sender := rng.IntN(senders)
		candidates := make([]Candidate, servers)
		for i := range candidates {
			k := reports[sender][i]
			candidates[i] = Candidate{Slots: slots, Work: work(i), Reported: k.backlog, Age: now.Sub(k.at)}
		}
		i := choose(candidates, rng)
		at := slices.MinFunc(freeAt[i], time.Time.Compare)
		slot := slices.Index(freeAt[i], at)
		start := now
		if at.After(now) {
			start = at
		}
		if start.Sub(now) > work(i)/2 {
			late++
		}
		freeAt[i][slot] = start.Add(work(i))
		used[i] += work(i)
		count++
		backlog := 0
		for _, until := range freeAt[i] {
			if until.After(now) {
				backlog += 1 + int(until.Sub(now)/work(i))
			}
		}
		reports[sender][i] = report{now, backlog}
	}
	for _, u := range used {
		busiest = max(busiest, u.Seconds()/seconds/slots)
	}
	return busiest, float64(late) / float64(count)
}

// Guards against a cold server that gets its usual share of requests and refuses them: among many it
// is drawn in proportion to the rate that it takes, among few it must not look as if its queue were
// served at full speed.
func TestLimitedServersGetWhatTheyTake(t *testing.T) {
	g := NewWithT(t)
	cold := Candidate{Slots: 5, Work: 15 * time.Millisecond, Reported: 6, Age: time.Millisecond, Rate: 33}
	warm := cold
	warm.Rate, warm.Reported = 0, 9
	g.Expect(cold.weight() / warm.weight()).To(BeNumerically("~", 33.0/333, 0.01))
	g.Expect(cold.Completion()).To(BeNumerically(">", warm.Completion()))
	cold.Age, warm.Age = 2*rateValidFor, 2*rateValidFor
	g.Expect(cold.weight()).To(Equal(warm.weight()), "an old report")
}

// Guards against many senders overloading the servers that look best to them, which happens
// if each takes the earliest expected completion among all servers. The imbalance under
// steady load must be at most 1.25.
func TestManySendersDoNotOverloadTheFastestServers(t *testing.T) {
	g := NewWithT(t)
	busiestBaseline, waitedBaseline := simulateBalancing(func(cs []Candidate, _ *rand.Rand) int {
		best := 0
		for i := range cs {
			if cs[i].Completion() < cs[best].Completion() {
				best = i
			}
		}
		return best
	})
	busiest, waited := simulateBalancing(Choose)
	const mean = 620 * 0.075 / (18 * 4)
	t.Logf("busiest %.2f, waited %.3f; baseline %.2f, %.3f; mean %.2f", busiest, waited, busiestBaseline, waitedBaseline, mean)
	g.Expect(busiest / mean).To(BeNumerically("<=", 1.25))
	g.Expect(waited).To(BeNumerically("<", waitedBaseline))
}
