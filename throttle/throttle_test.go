package throttle

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// replay lets senders offer load requests a second in all to a server that accepts
// capacity of them, and returns how many reach it and how many it accepts, a second.
func replay(senders int, load, capacity float64, throttled bool) (reached, accepted float64) {
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

// Guards against a server that spends its processor on refusals: at eighteen times its
// capacity, as a range of hot keys brings it, most requests end at their senders.
func TestOverloadEndsAtTheSenders(t *testing.T) {
	g := NewWithT(t)
	const capacity = 43
	before, _ := replay(84, 18*capacity, capacity, false)
	reached, accepted := replay(84, 18*capacity, capacity, true)
	t.Logf("reached %.0f of %.0f a second, accepted %.0f", reached, before, accepted)
	g.Expect(reached).To(BeNumerically("<", before/2))
	g.Expect(accepted).To(BeNumerically(">", 0.9*capacity))
}

// Guards against senders that refuse what a moderately overloaded server could choose from.
func TestModerateOverloadReachesTheServer(t *testing.T) {
	g := NewWithT(t)
	reached, accepted := replay(11, 75, 50, true)
	t.Logf("reached %.0f, accepted %.0f", reached, accepted)
	g.Expect(reached).To(BeNumerically(">", 0.97*75))
	g.Expect(accepted).To(BeNumerically(">", 0.97*50))
}

// Guards against requests that are refused although the server has room.
func TestNothingIsRefusedBelowCapacity(t *testing.T) {
	g := NewWithT(t)
	reached, accepted := replay(11, 40, 60, true)
	g.Expect(accepted).To(BeNumerically(">", 0.97*40))
	g.Expect(reached).To(BeNumerically(">", 0.97*40))
}
