package node

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// peerBytesTotal returns the bytes counted for a purpose.
func (n *Node) peerBytesTotal(purpose, zone string) int {
	return int(n.metrics.set.GetOrCreateCounter(fmt.Sprintf(`basilway_node_peer_bytes_total{purpose=%q,zone=%q}`, purpose, zone)).Get())
}

// Guards against bytes between nodes that are not counted, counted twice, or for the wrong
// purpose: the counters must show what a connection carries.
func TestBytesBetweenNodesAreCounted(t *testing.T) {
	g := NewWithT(t)
	f := newForwarder(t)
	// The proxy's address is not that of a member.
	total := func() int { return f.peerBytesTotal("requests", "other") + f.peerBytesTotal("responses", "other") }
	for range 3 {
		before := total()
		_, _, _, bytes := f.forward(t, "7", func(h http.Header) { h.Set("X-Fill", "0123456789") })
		g.Expect(total() - before).To(BeEquivalentTo(bytes))
	}
	g.Expect(f.peerBytesTotal("requests", "other")).To(BeNumerically(">", 300))
	g.Expect(f.peerBytesTotal("responses", "other")).To(BeNumerically(">", 300))
	before := f.passed.Load()
	_, _ = f.exchangeHTTP(t.Context(), f.member.Address, digestPath, []byte("not CBOR"))
	g.Expect(f.peerBytesTotal("digest", "other")).To(BeEquivalentTo(f.passed.Load() - before))
	g.Expect(f.peers.ping(f.peers.pool(f.config.PeerAddress), f.config.PeerAddress)).To(Succeed())
	g.Expect(f.peerBytesTotal("ping", "same")).To(BeNumerically(">", 0))
}

// Guards against a node that counts the traffic of a cluster under the wrong zone.
func TestBytesAreCountedByZone(t *testing.T) {
	g := NewWithT(t)
	c := newTestCluster(t, 2)
	c.waitSettled()
	key := 0
	for !c.nodes[1].sim.holds(uint16(key)) {
		key += 997
	}
	status, _, _, err := send(context.Background(), "POST", c.nodes[0].config.ClientAddress, "/book/x", "zoned", key, "p")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(200))
	g.Eventually(func() int { return c.nodes[0].peerBytesTotal("responses", "same") }, time.Second).Should(BeNumerically(">", 100))
	g.Expect(c.nodes[0].peerBytesTotal("responses", "other")).To(BeZero())
}
