package node

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/grant"
	"github.com/basilway/basilway/keyrange"
	"github.com/basilway/basilway/metastore"
)

// Guards against adopting a backend server after a health check that another one answered,
// or that reports it as unhealthy.
func TestOnlyTheRecordedBackendServerIsAdopted(t *testing.T) {
	g := NewWithT(t)
	n := single(t)
	b := n.Node.backend
	g.Expect(b.checkHealth(t.Context(), "/health", n.sim.id)).To(BeTrue())
	g.Expect(b.checkHealth(t.Context(), "/health", "another")).To(BeFalse())
	n.sim.mu.Lock()
	n.sim.state = grant.Draining
	n.sim.mu.Unlock()
	g.Expect(b.checkHealth(t.Context(), "/health", n.sim.id)).To(BeFalse())
}

// Guards against an adoption that goes on without heartbeats, or that covers keys that are
// moving to another backend server.
func TestAdoptionIsBounded(t *testing.T) {
	g := NewWithT(t)
	n := single(t)
	n.stopHeartbeats()
	n.withBackend(func(b *backend) { b.tracker, b.adoptable, b.started = nil, true, boottimeNow() })
	g.Expect(n.Node.backend.gate(bookingTicket)).To(BeNil())

	space := n.views.current().Keys["booking"]
	r := space.Find(7)
	moving, err := space.BeginMove(keyrange.Span{From: r.From, To: r.From}, r.Owner, keyrange.Owner{Instance: "instance-9", Incarnation: "b-1"})
	g.Expect(err).NotTo(HaveOccurred())
	value, err := moving.Table(0).Encode()
	g.Expect(err).NotTo(HaveOccurred())
	n.views.apply(metastore.Row{Key: bucketKey("booking", 0), Value: value, Version: space.Versions[0] + 1})
	first := bookingTicket
	first.key = r.From
	g.Expect(n.Node.backend.gate(first)).NotTo(BeNil(), "the key moves")
	g.Expect(n.Node.backend.gate(bookingTicket)).To(BeNil(), "the other keys do not move")

	n.withBackend(func(b *backend) { b.started = boottimeNow().Add(-adoptionTimeout - time.Second) })
	g.Expect(n.Node.backend.gate(bookingTicket)).NotTo(BeNil())
}
