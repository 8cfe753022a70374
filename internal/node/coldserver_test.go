package node

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/basilway/basilway/coldstate"
	"github.com/basilway/basilway/grant"
	"github.com/basilway/basilway/metastore"
	"github.com/basilway/basilway/verdict"
)

// coldState returns what the node knows of its backend server.
func (n *testNode) coldState() (state coldstate.State) {
	n.withBackend(func(b *backend) { state = b.cold.State(boottimeNow()) })
	return state
}

// Guards against a backend server that is, or may be, cold and gets more requests in a second than
// the bound: its node has just restarted, sends no heartbeats, and a health check response is lost.
// It is served without a limit once it says that it is warm.
func TestServerInAnUnknownStateCountsAsCold(t *testing.T) {
	g := NewWithT(t)
	n := single(t)
	const bound = 4*1.5 + 2
	next := n.cluster.desired
	next.Version++
	next.Services = slices.Clone(next.Services)
	next.Services[0].ColdPerSecond = 4
	n.cluster.setDesiredState(next)
	n.sim.mu.Lock()
	n.sim.slots = 40
	n.sim.mu.Unlock()
	n.stopHeartbeats()
	for i := range int(bound) { // by the process that restarts
		_, _, _, _ = send(t.Context(), http.MethodPost, n.config.ClientAddress, "/book/x", fmt.Sprint("before", i), 7, "")
	}
	n.cancel()
	g.Eventually(n.done, 10*time.Second).Should(Receive(BeNil()))
	n.config.Bounds.ColdOverage, n.config.Bounds.ColdSlack = 1.5, 2
	n.start()
	g.Eventually(func() any { return n.Node.backend.gate(bookingTicket) }, 3*time.Second).Should(BeNil(), "adopted")
	g.Expect(n.coldState()).To(Equal(coldstate.Unknown))
	from := time.Now()
	l := n.cluster.startLoad(n)
	time.Sleep(2500 * time.Millisecond)
	l.stop()
	n.sim.mu.Lock()
	arrivals := slices.Clone(n.sim.arrivals)
	n.sim.coldMS = "0"
	n.sim.mu.Unlock()
	for i, first := range arrivals {
		within := slices.IndexFunc(arrivals[i:], func(at time.Time) bool { return at.Sub(first) >= time.Second })
		g.Expect(within).To(BeNumerically("<=", int(bound)))
	}
	g.Expect(n.sim.arrivedSince(from)).To(BeNumerically(">=", int(bound)))
	g.Eventually(func() coldstate.State {
		_, _, _, _ = send(t.Context(), http.MethodPost, n.config.ClientAddress, "/book/x", "asks", 7, "")
		return n.coldState()
	}, time.Second).Should(Equal(coldstate.Warm), "asked, because its heartbeat is overdue")
	g.Expect(n.Node.backend.queue.load().coldRate).To(BeZero())
	n.Node.backend.processHeartbeat(grant.Heartbeat{ID: n.sim.id, StartedMS: 1, Address: n.sim.address(), Service: "booking", Slots: 4, Sequence: 9999, WarmUpLeft: time.Minute})
	g.Expect(n.Node.backend.queue.load().coldRate).To(BeNumerically("~", bound/1.1, 0.1))
	n.Node.backend.observeColdState(http.Header{simCold: {"soon"}}, boottimeNow())
	g.Expect(n.coldState()).To(Equal(coldstate.Cold), "an invalid header changes nothing")
	time.Sleep(coldstate.DefaultConfig().AskInterval)
	n.Node.backend.forgetColdState()
	g.Expect(n.coldState()).To(Equal(coldstate.Unknown))
	g.Eventually(n.coldState, time.Second).Should(Equal(coldstate.Warm), "asked when it is reinstated")
}

// Guards against a request that is sent although it waited for a connection until its place in the
// limit had passed.
func TestPlaceInTheColdLimitIsCheckedBeforeTheFirstByte(t *testing.T) {
	g := NewWithT(t)
	n := single(t)
	n.stopHeartbeats()
	b := n.Node.backend
	b.queue.setColdLimit(1, true)
	booking := bookingTicket
	booking.deadline, booking.target = time.Now().Add(9*time.Second), time.Now().Add(9*time.Second)
	g.Eventually(func() error {
		if out := b.serve(t.Context(), booking, newTestExchange("first")); out.err != nil {
			return out.err
		}
		return nil
	}, 5*time.Second).Should(Succeed())
	out := b.send(t.Context(), booking, newTestExchange("late"), slot{queue: b.queue})
	g.Expect(out.err).To(And(HaveField("Verdict", verdict.NotRun), HaveField("Reason", verdict.ReasonRateLimited)))
	g.Expect(out.err.RetryAfter).To(BeNumerically("~", time.Second, 200*time.Millisecond))
	g.Expect(n.sim.ran("late")).To(BeZero())
}

// Guards against requests that are sent without a limit while the node has not read the desired state,
// which says what a cold backend server may get.
func TestNothingIsSentBeforeTheBoundIsKnown(t *testing.T) {
	g := NewWithT(t)
	config := single(t).config
	hb := grant.Heartbeat{ID: "b", StartedMS: 1, Address: config.BackendAddress, Service: config.Service, Slots: 4, Sequence: 1}
	for _, overage := range []float64{0, 1.5} {
		config.Bounds.ColdOverage = overage
		b := New(config, zap.NewNop()).backend
		b.node.views.replace(clusterTable, metastore.Listing{Version: 1})
		g.Expect(b.processHeartbeat(hb)).To(BeTrue())
		if err := b.gate(ticket{service: config.Service}); overage == 0 {
			g.Expect(err).To(BeNil(), "no bound is configured")
		} else {
			g.Expect(err).To(HaveField("Reason", verdict.ReasonStarting))
		}
	}
}

// Guards against nodes of different versions that misread each other's load header.
func TestLoadHeaderIsReadByEarlierAndLaterNodes(t *testing.T) {
	g := NewWithT(t)
	load := peerLoad{known: true, running: 3, waiting: 2, slots: 5, work: time.Millisecond, incarnation: "b@7", coldRate: 32.7}
	decoded, compact := decodePeerLoad(load.encode())
	g.Expect(decoded).To(Equal(load))
	g.Expect(compact).To(BeTrue())
	later := struct {
		namedLoad
		Later int `cbor:"99,keyasint"`
	}{load.named(), 5}
	decoded, _ = decodePeerLoad("0,0,0,0,0,x " + encodeCompact(later))
	g.Expect(decoded).To(Equal(load), "a field of a later version")
	var l peerLoad
	var work, queued int64
	_, err := fmt.Sscanf(load.encode(), "%d,%d,%d,%d,%d,%s", &l.running, &l.waiting, &l.slots, &work, &queued, &l.incarnation)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(l.incarnation).To(Equal("b@7"), "as earlier versions read it")
	load.coldRate = 0
	decoded, compact = decodePeerLoad("3,2,5,1000,0,b@7")
	g.Expect(decoded).To(Equal(load), "from an earlier version")
	g.Expect(compact).To(BeFalse())
}
