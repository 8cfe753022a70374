package throttle

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// simulate lets senders offer load requests per second in total to a server that accepts
// capacity of them. It returns how many requests per second reach the server and how many it
// accepts.
func simulate(senders int, load, capacity float64, throttled bool) (reached, accepted float64) {
	const seconds = 20
	rng := rand.New(rand.NewPCG(1, 2))
	throttles := make([]Throttle, senders)
	now, start := time.Unix(0, 0), time.Unix(0, 0)
	tokens := 0.0
	for now.Sub(start) < seconds*time.Second {
		gap := time.Duration(rng.ExpFloat64() / load * float64(time.Second))
		now = now.Add(gap)
		tokens = min(5, tokens+gap.Seconds()*capacity)
		t := &throttles[rng.IntN(senders)]
		if throttled && !t.Allow(DefaultConfig(senders), rng.Float64(), now) {
			continue
		}
		reached++
		if tokens >= 1 {
			tokens--
			accepted++
			t.Accepted(DefaultConfig(senders), now)
		}
	}
	return reached / seconds, accepted / seconds
}

// Guards against a server that spends its processor time on refusals: at eighteen times its
// capacity, as caused by a range of hot keys, most requests must be refused by their senders.
func TestSendersRefuseUnderHeavyOverload(t *testing.T) {
	g := NewWithT(t)
	const capacity = 43
	unthrottled, _ := simulate(84, 18*capacity, capacity, false)
	reached, accepted := simulate(84, 18*capacity, capacity, true)
	t.Logf("reached %.0f of %.0f a second, accepted %.0f", reached, unthrottled, accepted)
	g.Expect(reached).To(BeNumerically("<", unthrottled/2))
	g.Expect(accepted).To(BeNumerically(">", 0.9*capacity))
}

// Guards against senders refusing requests to a moderately overloaded server, which should
// choose among them itself.
func TestModerateOverloadReachesTheServer(t *testing.T) {
	g := NewWithT(t)
	reached, accepted := simulate(11, 75, 50, true)
	t.Logf("reached %.0f, accepted %.0f", reached, accepted)
	g.Expect(reached).To(BeNumerically(">", 0.97*75))
	g.Expect(accepted).To(BeNumerically(">", 0.97*50))
}

// Guards against refusing requests although the server has free capacity.
func TestNothingIsRefusedBelowCapacity(t *testing.T) {
	g := NewWithT(t)
	reached, accepted := simulate(11, 40, 60, true)
	g.Expect(accepted).To(BeNumerically(">", 0.97*40))
	g.Expect(reached).To(BeNumerically(">", 0.97*40))
}
