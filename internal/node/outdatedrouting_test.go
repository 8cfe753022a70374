package node

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/freshness"
	"github.com/basilway/basilway/httproute"
	"github.com/basilway/basilway/internal/httpclient"
	"github.com/basilway/basilway/verdict"
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

// Guards against nodes that pass requests on to each other and do not learn that one of them has an older desired
// state, and against a request that waits while a newer one comes into force and is sent by the older one (CONFIG).
func TestForwardedRequestNamesTheDesiredStateOfItsNode(t *testing.T) {
	g := NewWithT(t)
	n := single(t)
	forwarded := func(routes string) *http.Response {
		now := time.Now()
		ticket := ticket{instance: n.config.Instance, service: "booking", route: "book", sharded: true, key: 7, target: now.Add(time.Second), deadline: now.Add(2 * time.Second)}
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+n.config.PeerAddress+"/book/x", bytes.NewReader(nil))
		g.Expect(err).NotTo(HaveOccurred())
		req.Host = "shop.example"
		req.Header = http.Header{simID: {"f"}, simKey: {"7"}, ticketHeader: {ticket.encode(now)}, routesHeader: {routes}}
		resp, err := http.DefaultClient.Do(req)
		g.Expect(err).NotTo(HaveOccurred())
		resp.Body.Close()
		return resp
	}
	resp := forwarded("1,nowhere:1")
	g.Expect(resp.Header.Get(outcomeHeader)).To(BeEmpty())
	g.Expect(resp.Header).NotTo(HaveKey(routesHeader), "both have the same")
	g.Expect(n.freshness.judge()).To(Equal(freshness.Current))
	resp = forwarded("9,nowhere:1")
	g.Expect(resp.Header.Get(outcomeHeader)).To(BeEmpty(), "what the newer one sends here is served")
	g.Expect(resp.Header.Get(routesHeader)).To(Equal("1," + n.config.PeerAddress))
	g.Expect(n.freshness.judge()).To(Equal(freshness.Tolerated))
	g.Expect(n.fetcher.behind()).To(BeNumerically(">", 0))
	g.Expect(n.sim.ran("f")).To(Equal(2))

	waiting := bookingTicket
	waiting.version, waiting.host, waiting.path = 1, "shop.example", "/book/x"
	g.Expect(n.backend.gate(waiting)).To(BeNil())
	version := n.cluster.moveRoutes()
	g.Eventually(func() uint64 { v, _ := n.views.desiredState(); return v }, 10*time.Second).Should(Equal(version))
	g.Expect(n.backend.gate(waiting)).To(HaveField("Reason", verdict.ReasonOutdatedRoutes))
	resp = forwarded("1,nowhere:1")
	refusal, err := decodeFailure(resp.Header.Get(outcomeHeader))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(refusal.err).To(HaveField("Verdict", verdict.NotRun))
	g.Expect(resp.Header.Get(routesHeader)).To(Equal("2," + n.config.PeerAddress))
	g.Expect(n.sim.ran("f")).To(Equal(2))

	// The node of the client routes it anew, and leaves other kinds of routes to its next attempt.
	routes := n.views.current().Routes
	req := &request{ticket: waiting, exchange: httpclient.Exchange{ID: "r"}, visited: []string{"a"}}
	req.ticket.kind, req.ticket.sharded = httproute.NonIdempotent, false
	g.Expect(n.rerouteBy(routes, req)).To(BeNil())
	g.Expect(req.ticket.service).To(Equal("records"))
	g.Expect(req.ticket.version).To(Equal(version))
	g.Expect(req.visited).To(BeEmpty())
	req.ticket.sharded = true
	g.Expect(n.rerouteBy(routes, req)).To(HaveField("Reason", verdict.ReasonOutdatedRoutes))
	req.ticket.path = "/gone/"
	g.Expect(n.rerouteBy(routes, req)).To(HaveField("Reason", verdict.ReasonOutdatedRoutes))
}
