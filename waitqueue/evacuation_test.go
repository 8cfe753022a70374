package waitqueue

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Load: a zone with a quarter of a service's backend servers is evacuated at a utilization of 0.9, so the
// others get 1.2 times what they can take. Guards against refusals of the higher priority while the lower one is
// served, against requests that wait to be refused, and against a queue that does not use its slots.
func TestEvacuatedZoneCostsTheLowestPriority(t *testing.T) {
	g := NewWithT(t)
	const utilization, share = 0.9, 0.75
	before := simulate(newPolicyQueue(), 11, func(s *simulation) { s.load(0, 30*time.Second, utilization*simulatedSlots) })
	got := simulate(newPolicyQueue(), 11, func(s *simulation) {
		s.load(0, 5*time.Second, utilization*simulatedSlots)
		s.load(5*time.Second, 30*time.Second, utilization/share*simulatedSlots)
	})
	t.Logf("before: served %.3f, booking %.3f; after: served %.3f, booking %.3f, lookup %.3f, refused after %v", before.served, before.booking, got.served, got.booking, got.lookup, got.refusedWait)
	g.Expect(got.booking).To(BeNumerically(">", 0.95*before.booking), "the higher priority keeps its service")
	g.Expect(got.lookup).To(BeNumerically("<", got.booking))
	g.Expect(got.work).To(BeNumerically(">", 0.9*30*simulatedSlots*utilization))
	g.Expect(got.served).To(BeNumerically(">", share))
	g.Expect(got.refusedWait).To(BeNumerically("<", 100*time.Millisecond), "half of the target latency; 34 ms on this load")
}
