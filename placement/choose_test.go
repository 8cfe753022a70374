package placement

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// balancing replays senders that choose among servers with what their own answers told
// them, and returns the highest utilization and the share of requests that wait for more
// than half of their work.
func balancing(choose func([]Candidate, *rand.Rand) int) (busiest, waited float64) {
	const (
		servers, senders, slots = 18, 100, 4
		perSecond, seconds      = 620.0, 20
	)
	rng := rand.New(rand.NewPCG(5, 5))
	speeds := []float64{0.6, 1, 1.4}
	work := func(i int) time.Duration {
		return time.Duration(float64(75*time.Millisecond) / speeds[i%len(speeds)])
	}
	free := make([][]time.Time, servers) // when each slot is free
	for i := range free {
		free[i] = make([]time.Time, slots)
	}
	type known struct {
		at      time.Time
		backlog int
	}
	seen := make([][servers]known, senders)
	used := make([]time.Duration, servers)
	now, late, count := time.Unix(0, 0), 0, 0
	for now.Before(time.Unix(seconds, 0)) {
		now = now.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		sender := rng.IntN(senders)
		candidates := make([]Candidate, servers)
		for i := range candidates {
			k := seen[sender][i]
			candidates[i] = Candidate{Slots: slots, Work: work(i), Reported: k.backlog, Age: now.Sub(k.at)}
		}
		i := choose(candidates, rng)
		at := slices.MinFunc(free[i], time.Time.Compare)
		slot := slices.Index(free[i], at)
		start := now
		if at.After(now) {
			start = at
		}
		if start.Sub(now) > work(i)/2 {
			late++
		}
		free[i][slot] = start.Add(work(i))
		used[i] += work(i)
		count++
		backlog := 0
		for _, until := range free[i] {
			if until.After(now) {
				backlog += 1 + int(until.Sub(now)/work(i))
			}
		}
		seen[sender][i] = known{now, backlog}
	}
	for _, u := range used {
		busiest = max(busiest, u.Seconds()/seconds/slots)
	}
	return busiest, float64(late) / float64(count)
}

// Guards against many senders that crowd the servers which look best to them: the
// imbalance in steady load must be at most 1.25. The policy before took the earliest
// expected answer among all.
func TestManySendersDoNotCrowdTheFastestServers(t *testing.T) {
	g := NewWithT(t)
	before, waitedBefore := balancing(func(cs []Candidate, _ *rand.Rand) int {
		best := 0
		for i := range cs {
			if cs[i].Completion() < cs[best].Completion() {
				best = i
			}
		}
		return best
	})
	busiest, waited := balancing(Choose)
	const mean = 620 * 0.075 / (18 * 4)
	t.Logf("busiest %.2f, waited %.3f; before %.2f, %.3f; mean %.2f", busiest, waited, before, waitedBefore, mean)
	g.Expect(busiest / mean).To(BeNumerically("<=", 1.25))
	g.Expect(waited).To(BeNumerically("<", waitedBefore))
}
