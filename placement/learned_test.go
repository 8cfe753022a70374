package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/keyrange"
)

// Guards against a slow server that gets requests at its usual rate, and against one that gets none
// that would show its recovery.
func TestLearnedSpeedWeighsCandidatesUntilItIsOld(t *testing.T) {
	g := NewWithT(t)
	c := Candidate{Slots: 9, Work: 60 * time.Millisecond}
	slow := c.WithCapacity(5, 0.1, 100*time.Millisecond)
	g.Expect(slow.Slots).To(Equal(5))
	g.Expect(slow.Work).To(Equal(600 * time.Millisecond))
	g.Expect(slow.weight()).To(And(BeNumerically("<", 0.1*c.weight()), BeNumerically(">", 0)))
	g.Expect(c.WithCapacity(9, 0.1, time.Second).Work).To(BeNumerically("~", 109*time.Millisecond, time.Millisecond))
	g.Expect(c.WithCapacity(9, 0.1, 2*time.Second).Completion()).To(Equal(c.Completion()))
}

// Guards against keys that stay on servers that turned slow because balance makes few moves at once,
// and against members that lose all load, so that their recovery would not be seen. The load is that
// of 49 servers of which a part turns 12 times slower; two plans are made before any move completes.
func TestKeysLeaveSlowedMembersAtOnce(t *testing.T) {
	for _, slowed := range []int{8, 19} {
		g := NewWithT(t)
		rng := rand.New(rand.NewPCG(1, uint64(slowed)))
		ms := members(49, 5, 0.6, 1, 1.4)
		loads := map[uint16]float64{}
		for range 4000 {
			loads[uint16(rng.IntN(65536))] += 0.55 * 5 * 49 / 4000
		}
		in := Input{Space: keyrange.NewSpace(), Members: ms, Loads: loads, Balance: true}
		in.Space = applyPlans(t, in, 20)
		before := loadOf(in.Space, ms[:slowed], loads)
		for i := range slowed {
			ms[i].Speed /= 12
			ms[i].Slowed = true
		}
		for range 2 {
			for _, c := range Plan(in, DefaultConfig()) {
				var err error
				in.Space, err = c.Apply(in.Space)
				g.Expect(err).NotTo(HaveOccurred())
			}
		}
		after := loadOf(in.Space, ms[:slowed], loads)
		t.Logf("%d of 49 members slowed: load %.1f before, %.1f after two plans", slowed, before, after)
		g.Expect(after).To(BeNumerically("<", before/2))
		in.Space = applyPlans(t, in, 40)
		for i := range slowed {
			g.Expect(loadOf(in.Space, ms[i:i+1], loads)).To(BeNumerically(">", 0))
		}
	}
}

// loadOf returns the load of members once the open moves are completed.
func loadOf(s *keyrange.Space, ms []Member, loads map[uint16]float64) float64 {
	sum := 0.0
	for key, load := range loads {
		for _, m := range ms {
			if ownerAfterMove(s.Find(key)) == m.Owner {
				sum += load
			}
		}
	}
	return sum
}
