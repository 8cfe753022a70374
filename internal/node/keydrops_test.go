package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/keyrange"
	"github.com/basilway/basilway/metastore"
	"github.com/basilway/basilway/metastore/memory"
)

// setQuiet makes a backend server stop sending heartbeats, as if it were cut off from its node, or
// send them again. It keeps its grants.
func (s *backendSim) setQuiet(quiet bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quiet = quiet
}

// storeFailures are the ways in which a write without effect fails.
var storeFailures = map[string]memory.Faults{
	"store refuses":            {Down: true},
	"outcome of write unknown": {Reset: true},
}

// heldKeys returns how many sampled keys a backend server holds.
func (s *backendSim) heldKeys() int {
	out := 0
	for key := 0; key <= keyrange.MaxKey; key += holdStep {
		if s.holds(uint16(key)) {
			out++
		}
	}
	return out
}

// Guards against two holders of a key (OWNER): the node wants to drop the keys of a silent backend
// server while the store cannot be written, and the server sends heartbeats again before the drop
// takes effect.
func TestKeysOfAReturnedBackendServerAreNotDroppedLate(t *testing.T) {
	for name, faults := range storeFailures {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				c := newServedCluster(t, 5)
				defer c.stop()
				for round := range 3 {
					time.Sleep(3 * time.Second)
					sim := c.nodes[round].backend()
					held := sim.heldKeys()
					sim.setQuiet(true)
					time.Sleep(2 * time.Second)
					c.store.SetFaults(faults)
					time.Sleep(3 * time.Second)
					sim.setQuiet(false)
					time.Sleep(2 * time.Second)
					g.Expect(sim.heldKeys()).To(Equal(kept(faults, held)))
					sim.setQuiet(true)
					c.store.SetFaults(memory.Faults{Delay: storeDelay})
					time.Sleep(2500 * time.Millisecond)
					sim.setQuiet(false)
				}
				_, ok := c.waitServed(20 * time.Second)
				g.Expect(c.holds.found()).To(BeEmpty())
				g.Expect(ok).To(BeTrue(), "all keys are served again")
			})
		})
	}
}

// kept returns how many keys of held a backend server that comes back is granted while the store has faults:
// all if the drop had no effect, none while it may take effect.
func kept(faults memory.Faults, held int) int {
	if faults.Reset {
		return 0
	}
	return held
}

// Guards against two holders of a key (OWNER) as above, where the process that wants to drop the keys has
// started while the backend server was silent.
func TestKeysOfAnEarlierIncarnationThatReturnsAreNotDroppedLate(t *testing.T) {
	for name, faults := range storeFailures {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				c := newServedCluster(t, 5)
				defer c.stop()
				for round := range 3 {
					n := c.nodes[round]
					held := n.backend().heldKeys()
					n.backend().setQuiet(true)
					n.stop()
					time.Sleep(100 * time.Millisecond)
					n.start()
					time.Sleep(leaseDuration - 300*time.Millisecond)
					c.store.SetFaults(faults)
					time.Sleep(1500 * time.Millisecond)
					n.backend().setQuiet(false)
					time.Sleep(time.Second)
					g.Expect(n.backend().heldKeys()).To(Equal(kept(faults, held)))
					n.backend().setQuiet(true)
					c.store.SetFaults(memory.Faults{Delay: storeDelay})
					time.Sleep(2500 * time.Millisecond)
					n.backend().setQuiet(false)
					time.Sleep(4 * time.Second)
				}
				_, ok := c.waitServed(20 * time.Second)
				g.Expect(c.holds.found()).To(BeEmpty())
				g.Expect(ok).To(BeTrue(), "all keys are served again")
			})
		})
	}
}

// Guards against keys that are granted while a drop of them may take effect, and against keys that stay
// withheld once it can't.
func TestKeysAreWithheldUntilTheOutcomeOfADropIsKnown(t *testing.T) {
	g := NewWithT(t)
	owner, other := keyrange.Owner{Instance: "a", Incarnation: "a@1"}, keyrange.Owner{Instance: "a", Incarnation: "a@2"}
	var d keyDrops
	g.Expect(d.withholds(owner)).To(BeFalse())
	d.tried(owner, metastore.ErrUnknown)
	g.Expect(d.withholds(owner)).To(BeFalse(), "no try was sent")
	for _, harmless := range []error{nil, errNoChange, errNoLease, metastore.ErrConflict, metastore.ErrUnavailable} {
		d.begin(owner)
		g.Expect(d.withholds(owner)).To(BeTrue())
		g.Expect(d.withholds(other)).To(BeFalse())
		d.tried(owner, harmless)
		g.Expect(d.withholds(owner)).To(BeFalse(), "%v", harmless)
	}
	d.begin(owner)
	d.tried(owner, fmt.Errorf("%w: connection reset", metastore.ErrUnknown))
	for _, later := range []error{errNoChange, errNoLease, metastore.ErrConflict, metastore.ErrUnavailable, metastore.ErrUnknown} {
		d.begin(owner)
		d.tried(owner, later)
		g.Expect(d.withholds(owner)).To(BeTrue(), "the first try may still take effect after %v", later)
		g.Expect(d.uncertain(owner)).To(BeTrue())
	}
	d.ended(owner)
	g.Expect(d.withholds(owner)).To(BeFalse())
}
