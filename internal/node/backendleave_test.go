package node

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/grant"
	"github.com/basilway/basilway/metastore/memory"
	"github.com/basilway/basilway/verdict"
)

// recordedState returns the state of the backend server that the store records.
func (n *testNode) recordedState(g Gomega) BackendState {
	listing, err := n.cluster.store.List(n.cluster.t.Context(), clusterTable)
	g.Expect(err).NotTo(HaveOccurred())
	for _, row := range listing.Rows {
		if row.Key == memberKey(n.config.Instance) {
			m, err := decodeMember(n.config.Instance, row.Value, row.Version)
			g.Expect(err).NotTo(HaveOccurred())
			return m.State
		}
	}
	return BackendUnknown
}

// Guards against an acknowledged leave that is forgotten when the node is killed right after it (DRAIN): the next
// process learns of it from the store only.
func TestLeaveIsRecordedBeforeItIsAcknowledged(t *testing.T) {
	g := NewWithT(t)
	n := single(t)
	n.stopHeartbeats()
	n.cluster.store.SetFaults(memory.Faults{Delay: 100 * time.Millisecond})
	body, err := json.Marshal(grant.Heartbeat{ID: n.sim.id})
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.Post("http://"+n.config.HeartbeatAddress+"/leave", "application/json", strings.NewReader(string(body)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Body.Close()).To(Succeed())
	n.cluster.store.SetFaults(memory.Faults{})
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	g.Expect(n.recordedState(g)).To(Equal(BackendDraining))
}

// Guards against a leave without an acknowledgement while the store is down: the backend server would exit without
// having been emptied.
func TestLeaveIsAcknowledgedWhileTheStoreIsDown(t *testing.T) {
	g := NewWithT(t)
	n := single(t)
	n.stopHeartbeats()
	n.cluster.store.SetFaults(memory.Faults{Down: true})
	defer n.cluster.store.SetFaults(memory.Faults{})
	client := http.Client{Timeout: time.Second}
	body, err := json.Marshal(grant.Heartbeat{ID: n.sim.id})
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := client.Post("http://"+n.config.HeartbeatAddress+"/leave", "application/json", strings.NewReader(string(body)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Body.Close()).To(Succeed())
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	g.Expect(n.trackedState()).To(Equal(BackendDraining))
}

// Guards against a recorded leave of a backend server that doesn't leave: the leave of one that was there before
// arrives late, at the node's next process.
func TestLateLeaveOfAnEarlierBackendServerIsNotRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newServedCluster(t, 3)
		defer c.stop()
		n := c.nodes[2]
		n.backend().setQuiet(true)
		n.stop()
		n.start()
		time.Sleep(300 * time.Millisecond)
		n.running().backend.markLeaving("b-earlier")
		time.Sleep(time.Second)
		g.Expect(c.nodes[0].running().views.current().Members["instance-2"].State).To(Equal(BackendReady))
		n.backend().setQuiet(false)
		time.Sleep(time.Second)
		_, ok := c.waitServed(10 * time.Second)
		g.Expect(ok).To(BeTrue())
		g.Expect(n.running().backend.gate(ticket{service: "booking"})).To(BeNil())
	})
}

// Guards against requests to a backend server whose leave was acknowledged (DRAIN): it leaves once more, to the node's next
// process, as one that drains does at its end, and a heartbeat from before the leave arrives there.
func TestLeaveThatIsRepeatedToTheNextProcessIsNotANewOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newServedCluster(t, 3)
		defer c.stop()
		n := c.notPlanner()
		sim := n.backend()
		late := sim.heldBack()
		sim.setQuiet(true)
		n.running().backend.markLeaving(sim.id)
		time.Sleep(n.config.Bounds.DrainTimeout)
		n.restart()
		n.running().backend.markLeaving(sim.id)
		n.deliver(late)
		g.Expect(n.running().backend.gate(ticket{service: "booking"})).To(HaveField("Reason", verdict.ReasonDraining))
	})
}

// Guards against requests to a backend server whose leave was acknowledged (DRAIN): the node's next process finds the store
// down and has not heard from other nodes yet, and a heartbeat from before the leave arrives there.
func TestHeartbeatIsNotBelievedBeforeTheRecordOfItsServerIsKnown(t *testing.T) {
	for name, down := range map[string]bool{"store down": true, "store up": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				c := newServedCluster(t, 3)
				defer c.stop()
				n := c.notPlanner()
				sim := n.backend()
				late := sim.heldBack()
				sim.setQuiet(true)
				n.running().backend.markLeaving(sim.id)
				time.Sleep(n.config.Bounds.DrainTimeout)
				c.store.SetFaults(memory.Faults{Down: down})
				n.isolated.Store(true)
				n.restart()
				n.deliver(late)
				for range 8 {
					g.Expect(n.running().backend.gate(ticket{service: "booking"})).NotTo(BeNil())
					time.Sleep(300 * time.Millisecond)
				}
				n.isolated.Store(false)
				c.store.SetFaults(memory.Faults{})
				time.Sleep(3 * time.Second)
				g.Expect(n.running().backend.gate(ticket{service: "booking"})).To(HaveField("Reason", verdict.ReasonDraining))
			})
		})
	}
}

// Guards against a backend server that gets no requests and no keys, because the one before it left with the same id.
func TestLeaveEndsWithItsIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newServedCluster(t, 3)
		defer c.stop()
		n := c.nodes[2]
		n.backend().setQuiet(true)
		n.running().backend.markLeaving(n.backend().id)
		time.Sleep(3 * time.Second)
		n.crashBackend()
		n.startBackend()
		time.Sleep(2 * time.Second)
		g.Expect(n.running().backend.gate(ticket{service: "booking"})).To(BeNil())
		g.Expect(c.nodes[0].running().views.current().Members["instance-2"].State).To(Equal(BackendReady))
	})
}
