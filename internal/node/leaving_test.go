package node

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/verdict"
)

// stateLeave makes the backend server state in its responses that it leaves. Its heartbeats
// don't say so.
func (s *backendSim) stateLeave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving, s.silentHealth = true, true
}

// Guards against requests to a backend server that has stated its leave in responses only, and
// against callers that lose requests by it: its keys move to others.
func TestLeaveStatedInResponsesTakesEffect(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	c := newTestCluster(t, 3)
	c.waitSettled()
	l := c.startLoad(c.nodes...)
	leaving := c.nodes[0]
	leaving.sim.stateLeave()
	time.Sleep(leaving.config.Bounds.DrainTimeout + heartbeatEvery)
	from := time.Now()
	time.Sleep(time.Second)
	g.Expect(leaving.sim.arrivedSince(from)).To(BeZero())
	g.Eventually(func() int {
		return len(c.nodes[1].views.current().Keys["booking"].OwnedBy(leaving.Node.backend.owner()))
	}, 10*time.Second).Should(BeZero())
	l.stop()
	g.Expect(l.unexpected()).To(BeEmpty())
}

// Guards against a leave that is forgotten when the node beside the backend server restarts,
// while other nodes have passed it on.
func TestStatedLeaveHoldsThroughARestartOfTheNode(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	c := newTestCluster(t, 2)
	c.waitSettled()
	n, other := c.nodes[0], c.nodes[1]
	key := n.ownedKey()
	ticket := bookingTicket
	ticket.key = uint16(key)
	n.sim.stateLeave()
	burst(other, key, 1)
	n.cancel()
	g.Eventually(n.done, 10*time.Second).Should(Receive(BeNil()))
	// The new process must not know of the leave from the store.
	n.sim.mu.Lock()
	n.sim.leaving = false
	n.sim.mu.Unlock()
	n.start()
	g.Eventually(func() bool { return n.views.current().Listed }, 10*time.Second).Should(BeTrue())
	from := time.Now()
	burst(other, key, 20)
	g.Expect(n.sim.arrivedSince(from)).To(BeZero())
}

// Guards against a sender that goes on sending to a backend server whose leave it passed on,
// whatever the node beside that server knows, and against a leave that outlives its
// incarnation.
func TestSenderKeepsTheLeaveThatItPassedOn(t *testing.T) {
	g := NewWithT(t)
	n := single(t)
	owner := n.Node.backend.owner()
	m := Member{Owner: owner, Address: "127.0.0.1:1"}
	m.Owner.Instance = "instance-9"
	n.observeHeader(owner.Incarnation, "r1", http.Header{simLeaving: {"1"}}, boottimeNow())
	g.Expect(n.leavingGate(m)).To(BeNil(), "it serves on for a while")
	n.statuses.mu.Lock()
	n.statuses.now = func() time.Time { return boottimeNow().Add(n.config.Bounds.DrainTimeout) }
	n.statuses.mu.Unlock()
	g.Expect(n.leavingGate(m)).To(HaveField("Reason", verdict.ReasonDraining))
	out := n.forward(t.Context(), m, bookingTicket, newTestExchange("late"))
	g.Expect(out.err).To(HaveField("Verdict", verdict.NotRun))
	g.Expect(out.err).To(HaveField("Reason", verdict.ReasonDraining))
	m.Owner.Incarnation = "b-next@2"
	g.Expect(n.leavingGate(m)).To(BeNil())
}
