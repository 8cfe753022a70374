package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/metastore"
	"github.com/basilway/basilway/verdict"
)

// newZonedCluster returns a cluster of real nodes in two availability zones.
func newZonedCluster(t *testing.T, size int) *testCluster {
	t.Helper()
	c := newTestCluster(t, 0)
	c.zones, c.evacuate = []string{"a", "b"}, 2*time.Second
	for i := range size {
		c.add(fmt.Sprint("instance-", i))
	}
	c.waitSettled()
	return c
}

func (c *testCluster) setEvacuated(zone string, evacuated bool) {
	c.t.Helper()
	write := metastore.Write{Key: simProtocol{}.EvacuationRows() + zone, Value: []byte("{}"), Delete: !evacuated}
	if err := c.store.Commit(context.Background(), metastore.Txn{Writes: []metastore.Write{write}}); err != nil {
		c.t.Fatal(err)
	}
}

// Guards against requests that reach a backend server of an evacuated zone after its closing, over real
// connections, and against clients of the zone's instances that are not served.
func TestClientsOfAnEvacuatedZoneAreServedElsewhere(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	c := newZonedCluster(t, 4)
	l := c.startLoad(c.nodes...)
	time.Sleep(200 * time.Millisecond)
	c.setEvacuated("a", true)
	time.Sleep(c.evacuate)
	from := time.Now()
	g.Eventually(func() int {
		return len(c.nodes[1].views.current().Keys["booking"].OwnedBy(c.nodes[0].Node.backend.owner()))
	}, 5*time.Second).Should(BeZero())
	served := l.served.Load()
	time.Sleep(time.Second)
	for _, n := range []*testNode{c.nodes[0], c.nodes[2]} {
		g.Expect(n.sim.arrivedSince(from)).To(BeZero())
		w := httptest.NewRecorder()
		n.serveStatus(w, nil)
		var status nodeStatus
		g.Expect(json.Unmarshal(w.Body.Bytes(), &status)).To(Succeed())
		g.Expect(status.Evacuated).To(HaveLen(1))
		g.Expect(status.Evacuated[0]).To(And(HaveField("Zone", "a"), HaveField("Closed", true), HaveField("Keys", BeEmpty())))
	}
	g.Expect(l.served.Load()).To(BeNumerically(">", served+100))
	c.setEvacuated("a", false)
	g.Eventually(func() any { return c.nodes[0].Node.backend.gate(ticket{service: "booking"}) }, 3*time.Second, time.Millisecond).Should(BeNil())
	l.stop()
	g.Expect(l.unexpected()).To(BeEmpty())
	for _, n := range c.nodes {
		g.Expect(n.sim.maxRuns()).To(BeNumerically("<=", 1))
	}
}

// Guards against a request that passed the gate, waited and is sent after the zone has closed, and against
// a sender that relies on the node beside the backend server to know.
func TestGateOfAnEvacuatedZoneIsCheckedBeforeTheFirstByte(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	c := newZonedCluster(t, 2)
	n := c.nodes[0]
	t0 := bookingTicket
	t0.key = uint16(n.ownedKey())
	t0.deadline, t0.target = time.Now().Add(time.Minute), time.Now().Add(time.Minute)
	g.Expect(n.Node.backend.gate(t0)).To(BeNil())
	c.setEvacuated("a", true)
	g.Eventually(func() any { return n.Node.backend.gate(t0) }, 4*time.Second, time.Millisecond).ShouldNot(BeNil())
	var waiting sync.WaitGroup
	waiting.Go(func() {
		out := n.Node.backend.send(context.Background(), t0, newTestExchange("late"), slot{queue: n.Node.backend.queue})
		g.Expect(out.err).To(HaveField("Verdict", verdict.NotRun))
	})
	waiting.Wait()
	m := c.nodes[1].views.current().Members[n.config.Instance]
	g.Eventually(func() any { return c.nodes[1].Node.evacuatedGate(c.nodes[1].views.current(), m, t0) }, 4*time.Second).ShouldNot(BeNil())
	out := c.nodes[1].Node.forward(t.Context(), m, t0, newTestExchange("forwarded"))
	g.Expect(out.err).To(HaveField("Verdict", verdict.NotRun))
	g.Expect(out.arrived).To(BeFalse())
	n.sim.mu.Lock()
	defer n.sim.mu.Unlock()
	g.Expect(n.sim.runs).NotTo(Or(HaveKey("late"), HaveKey("forwarded")))
}
