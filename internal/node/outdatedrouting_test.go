package node

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/httproute"
)

// withholdDesiredStates keeps a node from decoding new desired states, as if it got no processor time for it.
func (n *testNode) withholdDesiredStates(t *testing.T) (release func()) {
	n.views.decoder.mu.Lock()
	released := false
	release = func() {
		if !released {
			released = true
			n.views.decoder.mu.Unlock()
		}
	}
	t.Cleanup(release)
	return release
}

// moveRoutes publishes a desired state in which another service serves all routes, and one route is added.
func (c *testCluster) moveRoutes() uint64 {
	next := c.desired
	next.Version++
	next.Services = append([]httproute.Service{{Name: "records"}}, next.Services...)
	next.Routes = nil
	for _, r := range append(c.desired.Routes, httproute.Route{Name: "added", Host: "shop.example", Prefix: "/added/", Timeout: 2 * time.Second, MaxAttempts: 1}) {
		r.Destinations = []httproute.Destination{{Service: "records", Weight: 1}}
		next.Routes = append(next.Routes, r)
	}
	c.setDesiredState(next)
	return next.Version
}

// keyOf returns a key that a node's backend server holds.
func (n *testNode) keyOf(g *WithT) int {
	for key := 0; key < 65536; key += 97 {
		if n.sim.holds(uint16(key)) {
			return key
		}
	}
	g.Fail("no key")
	return 0
}

// Guards against requests that run where only an older desired state sends them (CONFIG): the node that received
// them has not decoded the one in force yet, and the node beside the backend server has.
func TestRequestRoutedByAnOlderDesiredStateIsNotRun(t *testing.T) {
	g := NewWithT(t)
	c := newTestCluster(t, 2)
	c.waitSettled()
	late, current := c.nodes[0], c.nodes[1]
	key := current.keyOf(g)
	// With a response, the late node learns that the other one understands compact messages.
	status, body, _, err := send(t.Context(), http.MethodPost, late.config.ClientAddress, "/book/x", "before", key, "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(http.StatusOK), body)
	release := late.withholdDesiredStates(t)
	version := c.moveRoutes()
	g.Eventually(func() uint64 { v, _ := current.views.desiredState(); return v }, 10*time.Second).Should(Equal(version))
	for _, id := range []string{"compact", "named"} {
		status, body, _, err = send(t.Context(), http.MethodPost, late.config.ClientAddress, "/book/x", id, key, "")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status).To(Equal(http.StatusServiceUnavailable), body)
		g.Expect(current.sim.ran(id)).To(BeZero())
	}
	release()
	g.Eventually(func() uint64 { v, _ := late.views.desiredState(); return v }, 10*time.Second).Should(Equal(version))
}

// Guards against a node that goes on with a desired state that it knows to be outdated (CONFIG): requests for its own
// backend server pass no other node, and a route that was added is not missing.
func TestNodeDoesNotServeByADesiredStateThatItKnowsToBeOutdated(t *testing.T) {
	g := NewWithT(t)
	c := newTestCluster(t, 2)
	c.waitSettled()
	late, current := c.nodes[0], c.nodes[1]
	key := late.keyOf(g)
	release := late.withholdDesiredStates(t)
	version := c.moveRoutes()
	g.Eventually(func() uint64 { v, _ := current.views.desiredState(); return v }, 10*time.Second).Should(Equal(version))
	confirmed := time.Now()
	time.Sleep(time.Until(confirmed.Add(applyTime)))
	status, body, _, err := send(t.Context(), http.MethodPost, late.config.ClientAddress, "/added/x", "added", key, "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(http.StatusServiceUnavailable), body)
	status, body, _, err = send(t.Context(), http.MethodPost, late.config.ClientAddress, "/book/x", "moved", key, "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(http.StatusServiceUnavailable), body)
	g.Expect(late.sim.ran("moved")).To(BeZero())
	release()
	g.Eventually(func() uint64 { v, _ := late.views.desiredState(); return v }, 10*time.Second).Should(Equal(version))
}
