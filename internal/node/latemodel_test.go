package node

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/metastore"
	"github.com/basilway/basilway/metastore/memory"
)

// lateModel plays backend servers whose heartbeats arrive late, also at the node's next process or after their end,
// that are cut off from their node or leave without further heartbeats, while nodes restart and the store is away, turns
// nodes away or does writes late without an answer.
type lateModel struct {
	*virtualCluster
	mu     sync.Mutex
	leaves []recordedLeave
}

// recordedLeave is a leave that was acknowledged once the store had recorded it.
type recordedLeave struct {
	node  *virtualNode
	sim   *backendSim
	acked time.Time
}

// servesOnAfterLeave is how long a backend server serves after its leave was acknowledged.
const servesOnAfterLeave = 8 * time.Second

// Guards against two holders of a key, keys that stay without an owner and requests to a backend server whose leave was
// acknowledged, when heartbeats and writes arrive late (OWNER, DRAIN).
func TestModelKeepsOneHolderWhenHeartbeatsAreLate(t *testing.T) {
	for _, seed := range rollbackSeeds() {
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runLateModel(t, seed) })
		})
	}
}

func runLateModel(t *testing.T, seed uint64) {
	g := NewWithT(t)
	m := &lateModel{virtualCluster: newVirtualCluster(t, seed, 5, memory.Rates{})}
	defer m.stop()
	_, ok := m.waitServed(30 * time.Second)
	g.Expect(ok).To(BeTrue(), "first assignment")
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); {
		m.injectLateFault()
		for until := time.Now().Add(m.rng.between(0, 3*time.Second)); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
			m.checkLeaves(g)
		}
		g.Expect(m.holds.found()).To(BeEmpty())
	}
	m.store.SetFaults(memory.Faults{Delay: storeDelay})
	time.Sleep(longestFault)
	_, ok = m.waitServed(30 * time.Second)
	g.Expect(m.holds.found()).To(BeEmpty())
	g.Expect(ok).To(BeTrue(), "all keys are served again")
}

// checkLeaves checks that no request may be sent to a backend server later than its drain time after its leave was
// acknowledged.
func (m *lateModel) checkLeaves(g Gomega) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.leaves {
		node := l.node.running()
		if node == nil || l.node.backend() != l.sim || time.Since(l.acked) <= node.config.Bounds.DrainTimeout || time.Since(node.backend.started) <= contactTime {
			continue
		}
		view := node.views.current()
		row, recorded := view.Members[l.node.config.Instance]
		g.Expect(node.backend.gate(ticket{service: "booking"})).NotTo(BeNil(), "%s left %v ago; %s started %v ago, has its row: %t (%s, %v), the cluster's: %t, the desired state: %t",
			l.sim.id, time.Since(l.acked), l.node.config.Instance, time.Since(node.backend.started), recorded, row.Owner.Incarnation, row.State, view.Listed, view.Routes != nil)
	}
}

func (m *lateModel) injectLateFault() {
	n := m.nodes[m.rng.intN(len(m.nodes))]
	sim := n.backend()
	now := time.Now().Format("05.000")
	switch m.rng.intN(13) {
	case 0, 1:
		if sim == nil {
			return
		}
		late, by := sim.heldBack(), m.rng.between(time.Second, 6*time.Second)
		m.t.Logf("%v: heartbeat %d of %s arrives %v late", now, late.Sequence, sim.id, by)
		m.later(by, func() {
			if n.running() != nil {
				n.deliver(late)
			}
		})
	case 2, 3:
		if sim == nil {
			return
		}
		length := m.rng.between(time.Second, 7*time.Second)
		m.t.Logf("%v: %s is cut off from its node for %v", now, sim.id, length)
		sim.setQuiet(true)
		m.later(length, func() {
			if n.backend() == sim {
				sim.setQuiet(false)
			}
		})
	case 4, 5:
		if n.running() == nil {
			return
		}
		pause := m.rng.between(100*time.Millisecond, 1500*time.Millisecond)
		m.t.Logf("%v: %s is killed and starts after %v", now, n.config.Instance, pause)
		n.stop()
		m.later(pause, n.start)
	case 6:
		faults, length := memory.Faults{Down: true}, m.rng.between(500*time.Millisecond, 8*time.Second)
		if m.rng.intN(2) == 0 {
			faults = memory.Faults{Reset: true}
		}
		m.t.Logf("%v: store away for %v: %+v", now, length, faults)
		m.store.SetFaults(faults)
		m.later(length, func() { m.store.SetFaults(memory.Faults{Delay: storeDelay}) })
	case 7:
		m.leave(n, sim)
	case 8:
		from := uint16(m.rng.intN(60000))
		for range 10 {
			m.addDemand(n, from, 400*time.Millisecond)
			time.Sleep(100 * time.Millisecond)
		}
	case 9, 10:
		m.delayWrite(n)
	case 11, 12:
		length := m.rng.between(time.Second, 9*time.Second)
		m.t.Logf("%v: the store turns %s away for %v", now, n.config.Instance, length)
		n.cutOff.Store(true)
		m.later(length, func() { n.cutOff.Store(false) })
	}
}

// delayWrite lets the store do a write late, without an answer: the next one of a key table, or the next one through a node.
func (m *lateModel) delayWrite(n *virtualNode) {
	by, ofKeys := m.rng.between(time.Second, 6*time.Second), m.rng.intN(3) > 0
	m.t.Logf("%v: the next write through %s, or of keys (%t), is done %v late", time.Now().Format("05.000"), n.config.Instance, ofKeys, by)
	late := m.lateWrites.delayNext(func(through *virtualNode, txn metastore.Txn) bool {
		return ofKeys && writesKeys(txn) || !ofKeys && through == n
	})
	m.pending.Go(func() {
		select {
		case <-late.sent:
		case <-time.After(longestFault / 2):
			if m.lateWrites.forget(late) {
				return
			}
		}
		time.Sleep(by)
		late.release()
	})
}

// leave lets a backend server leave without further heartbeats. It serves on for a while and then starts again.
func (m *lateModel) leave(n *virtualNode, sim *backendSim) {
	node := n.running()
	if node == nil || sim == nil {
		return
	}
	m.t.Logf("%v: %s leaves", time.Now().Format("05.000"), sim.id)
	sim.setQuiet(true)
	m.pending.Go(func() {
		node.backend.markLeaving(sim.id)
		node.backend.awaitLeaveRecorded(m.t.Context(), sim.id)
		recorded := node.views.current().Members[n.config.Instance]
		if n.running() == node && recorded.State == BackendDraining && recorded.Owner.Incarnation == sim.incarnation() {
			m.mu.Lock()
			m.leaves = append(m.leaves, recordedLeave{n, sim, time.Now()})
			m.mu.Unlock()
		}
		time.Sleep(servesOnAfterLeave)
		if n.backend() == sim {
			n.crashBackend()
			n.startBackend()
		}
	})
}
