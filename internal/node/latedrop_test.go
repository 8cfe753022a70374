package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/basilway/basilway/keyrange"
	"github.com/basilway/basilway/metastore"
	"github.com/basilway/basilway/metastore/memory"
)

// lateByTimes are how long after it was sent the store does a late write.
var lateByTimes = []time.Duration{1800 * time.Millisecond, 2500 * time.Millisecond, 3500 * time.Millisecond, 5500 * time.Millisecond}

// newLateDropCluster returns a cluster in which each sampled key has a holder, and whose backend servers send their
// heartbeats seldom enough that a key's next holder may have it before the last one sends its next.
func newLateDropCluster(t *testing.T, size int) *virtualCluster {
	c := newVirtualCluster(t, 1, 0, memory.Rates{})
	c.heartbeat = time.Second
	for i := range size {
		c.add(fmt.Sprint("instance-", i), fmt.Sprint("peer-", i))
	}
	if _, ok := c.waitServed(30 * time.Second); !ok {
		t.Fatal("the keys are not assigned")
	}
	return c
}

// heldWithAnOldToken returns the sampled keys that a backend server holds with a fencing token that is not the one in
// the store: since that one was written, they may have been given to another one.
func (c *virtualCluster) heldWithAnOldToken() []int {
	listing, err := c.store.List(c.t.Context(), clusterTable)
	if err != nil {
		c.t.Fatal(err)
	}
	views := newViewStore(simProtocol{}, zap.NewNop())
	views.replace(clusterTable, listing)
	var out []int
	for key := 0; key <= keyrange.MaxKey; key += holdStep {
		recorded := views.current().Keys["booking"].Find(uint16(key))
		for _, n := range c.nodes {
			if sim := n.backend(); sim != nil && sim.holds(uint16(key)) && sim.tokenOf(uint16(key)) != recorded.Fence {
				out = append(out, key)
			}
		}
	}
	return out
}

// tokenOf returns the fencing token with which a backend server was granted a key; 0 if it was not.
func (s *backendSim) tokenOf(key uint16) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.granted {
		if g.Contains(key) {
			return g.Fence
		}
	}
	return 0
}

// Guards against two holders of a key (OWNER, review/7): the store turns a node away, which drops the keys of its silent
// backend server through another node without an answer, and the write is done late, once the server is back.
func TestKeysAreWithheldWhileARelayedDropMayTakeEffect(t *testing.T) {
	for _, by := range lateByTimes {
		t.Run(fmt.Sprint(by), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				c := newLateDropCluster(t, 2)
				defer c.stop()
				n := c.notPlanner()
				n.backend().setQuiet(true)
				time.Sleep(2 * time.Second)
				n.cutOff.Store(true)
				late := c.lateWrites.delayNext(func(m *virtualNode, txn metastore.Txn) bool { return m != n && writesKeys(txn) })
				<-late.sent
				time.Sleep(400 * time.Millisecond)
				n.backend().setQuiet(false)
				time.Sleep(by - 400*time.Millisecond)
				late.release()
				g.Expect(c.heldWithAnOldToken()).To(BeEmpty())
				time.Sleep(3 * time.Second)
				n.cutOff.Store(false)
				_, ok := c.waitServed(20 * time.Second)
				g.Expect(c.holds.found()).To(BeEmpty())
				g.Expect(ok).To(BeTrue(), "all keys are served again")
			})
		})
	}
}

// Guards against two holders of a key (OWNER, review/8): a process drops the keys of its silent backend server without an
// answer and is killed, and the write is done late, once the server is back and the next process has granted it the keys.
// The same if the server was silent since that process started.
func TestDropOfAnEndedProcessDoesNotTakeEffectLate(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		for _, by := range lateByTimes {
			t.Run(fmt.Sprint("restarted before ", restarted, ", ", by), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					c := newLateDropCluster(t, 3)
					defer c.stop()
					n := c.notPlanner()
					late := c.lateWrites.delayNext(func(m *virtualNode, txn metastore.Txn) bool { return m == n && writesKeys(txn) })
					n.backend().setQuiet(true)
					if restarted {
						n.stop()
						n.start()
					}
					<-late.sent
					time.Sleep(200 * time.Millisecond)
					n.stop()
					time.Sleep(500 * time.Millisecond)
					n.start()
					n.backend().setQuiet(false)
					time.Sleep(by - 700*time.Millisecond)
					late.release()
					g.Expect(c.heldWithAnOldToken()).To(BeEmpty())
					_, ok := c.waitServed(20 * time.Second)
					g.Expect(c.holds.found()).To(BeEmpty())
					g.Expect(ok).To(BeTrue(), "all keys are served again")
				})
			})
		}
	}
}
