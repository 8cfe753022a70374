package node

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/basilway/basilway/grant"
	"github.com/basilway/basilway/internal/httpclient"
	"github.com/basilway/basilway/keyrange"
	"github.com/basilway/basilway/metastore"
	"github.com/basilway/basilway/quarantine"
	"github.com/basilway/basilway/verdict"
)

// bookingTicket is the ticket of a request for one key. In a cluster of one node, that node owns
// all keys.
var bookingTicket = ticket{service: "booking", sharded: true, key: 7}

// single starts a cluster of one node, which owns all keys. It lets the test run in parallel
// with others.
func single(t *testing.T) *testNode {
	t.Helper()
	t.Parallel()
	c := newTestCluster(t, 1)
	c.waitSettled()
	return c.nodes[0]
}

// stopHeartbeats stops the heartbeats of the node's backend server and waits until one in
// transit has arrived.
func (n *testNode) stopHeartbeats() {
	n.sim.mu.Lock()
	n.sim.quiet = true
	n.sim.mu.Unlock()
	time.Sleep(heartbeatEvery)
}

// withBackend calls change with the node's backend while its mutex is held.
func (n *testNode) withBackend(change func(b *backend)) {
	n.Node.backend.mu.Lock()
	defer n.Node.backend.mu.Unlock()
	change(n.Node.backend)
}

// trackedState returns the state that the node has for its backend server.
func (n *testNode) trackedState() BackendState {
	n.Node.backend.mu.Lock()
	defer n.Node.backend.mu.Unlock()
	return n.Node.backend.state
}

// Guards against requests to a backend server whose port is known to be closed, but which is
// not yet marked as down.
func TestClosedPortGetsNoRequests(t *testing.T) {
	g := NewWithT(t)
	n := single(t)
	n.stopHeartbeats()
	n.withBackend(func(b *backend) { b.portClosedAt, b.running[1] = boottimeNow(), 1 })
	g.Expect(n.Node.backend.gate(bookingTicket)).To(HaveField("Reason", verdict.ReasonBackendDown))
}

// newTestExchange returns a request for key 7.
func newTestExchange(id string) httpclient.Exchange {
	return httpclient.Exchange{
		Method: http.MethodPost, URI: "/book/x", Host: "shop.example", Header: http.Header{simID: {id}, simKey: {"7"}}, IDHeader: simID, ID: id,
	}
}

// Guards against sending a request after the gate closed while it was queued: the gate must
// be checked again once the connection is ready.
func TestGateIsCheckedBeforeTheFirstByte(t *testing.T) {
	g := NewWithT(t)
	n := single(t)
	n.stopHeartbeats()
	n.withBackend(func(b *backend) { b.state = BackendDown })
	booking := bookingTicket
	booking.deadline = time.Now().Add(time.Second)
	out := n.Node.backend.send(t.Context(), booking, newTestExchange("late"), slot{queue: n.Node.backend.queue})
	g.Expect(out.err).To(HaveField("Verdict", verdict.NotRun))
	g.Expect(out.arrived).To(BeFalse())
	g.Expect(n.sim.ran("late")).To(BeZero())
}

// Guards against a request that crashes one backend server after another: a request with two
// strikes must be refused, whichever nodes saw the crashes.
func TestRequestWithTwoStrikesIsRefused(t *testing.T) {
	g := NewWithT(t)
	n := single(t)
	booking := bookingTicket
	booking.fingerprint, booking.deadline, booking.target = 99, time.Now().Add(time.Second), time.Now().Add(time.Second)
	f := quarantine.Fingerprint(booking.fingerprint)
	n.withBackend(func(b *backend) {
		b.strikes.Crashed([]quarantine.Fingerprint{f}, time.Now())
		b.strikes.Crashed([]quarantine.Fingerprint{f}, time.Now())
	})
	ctx, cancel := context.WithDeadline(t.Context(), booking.deadline)
	defer cancel()
	out := n.Node.backend.serve(ctx, booking, newTestExchange("crash"))
	g.Expect(out.err).To(HaveField("Reason", verdict.ReasonQuarantined))
	g.Expect(n.sim.ran("crash")).To(BeZero())
}

// Guards against running a request on the wrong backend server, because an address passed
// from one instance to another.
func TestRequestForAnotherNodeIsRefused(t *testing.T) {
	g := NewWithT(t)
	n := single(t)
	booking := bookingTicket
	booking.instance, booking.deadline, booking.target = "instance-9", time.Now().Add(time.Second), time.Now().Add(time.Second)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+n.config.PeerAddress+"/book/x", nil)
	g.Expect(err).NotTo(HaveOccurred())
	req.Header.Set(ticketHeader, booking.encode(time.Now()))
	req.Header.Set(simID, "stray")
	req.Header.Set(simKey, "7")
	resp, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	out, err := decodeFailure(resp.Header.Get(outcomeHeader))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out.err.Verdict).To(Equal(verdict.NotRun))
	g.Expect(n.sim.ran("stray")).To(BeZero())
}

// Guards against a second run of a request that may have run, and against a 503, which
// promises that it has not run.
func TestRequestThatMayHaveRunIsNotRetriedOrRefused(t *testing.T) {
	g := NewWithT(t)
	n := single(t)
	for _, fault := range []simFault{simDisconnect, simTruncate} {
		id := map[simFault]string{simDisconnect: "cut", simTruncate: "part"}[fault]
		n.sim.injectFaults(fault)
		status, _, _, err := send(t.Context(), http.MethodPost, n.config.ClientAddress, "/book/x", id, 7, "")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status).To(Equal(http.StatusBadGateway))
		g.Expect(n.sim.ran(id)).To(Equal(1))
	}
}

// Guards against more sends than the route's MaxAttempts, and against a 503 for a request
// whose last try was declined but whose first one may have run.
func TestAttemptsOfAnIdempotentRequest(t *testing.T) {
	g := NewWithT(t)
	n := single(t)
	fillRetryBudget(n)
	n.sim.injectFaults(simDisconnect, simNone)
	status, _, _, err := send(t.Context(), http.MethodGet, n.config.ClientAddress, "/lookup/x", "again", 7, "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(http.StatusOK))
	g.Expect(n.sim.ran("again")).To(Equal(2))

	n.sim.injectFaults(simDisconnect, simDecline)
	status, _, _, err = send(t.Context(), http.MethodGet, n.config.ClientAddress, "/lookup/x", "declined", 7, "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(http.StatusBadGateway))

	n.sim.injectFaults(simDisconnect, simDisconnect, simDisconnect)
	status, _, _, err = send(t.Context(), http.MethodGet, n.config.ClientAddress, "/lookup/x", "often", 7, "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(http.StatusBadGateway))
	g.Expect(n.sim.ran("often")).To(Equal(2))
	n.sim.injectFaults()
}

// fillRetryBudget fills the node's retry budget.
func fillRetryBudget(n *testNode) {
	budget := n.budget("booking")
	for range 100 {
		budget.FirstTry()
	}
}

// Guards against retries beyond the budget, which amplify an overload.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	g := NewWithT(t)
	n := single(t)
	budget := n.budget("booking")
	for budget.TryRetry(time.Now()) {
		// Use up the initial budget.
	}
	n.sim.injectFaults(simDisconnect, simNone)
	status, _, _, err := send(t.Context(), http.MethodGet, n.config.ClientAddress, "/lookup/x", "spent", 7, "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(http.StatusBadGateway))
	g.Expect(n.sim.ran("spent")).To(Equal(1))
	n.sim.injectFaults()
}

// Guards against reporting a request as not run when the peer was lost after it was sent.
func TestFailedForwardTellsWhetherTheRequestMayHaveRun(t *testing.T) {
	g := NewWithT(t)
	for stage, want := range map[httpclient.Stage]verdict.Verdict{httpclient.NotSent: verdict.NotRun, httpclient.Sent: verdict.MayHaveRun} {
		out := forwardFailure(t.Context(), &httpclient.Error{Stage: stage, Err: errors.New("connection reset")})
		g.Expect(out.err.Verdict).To(Equal(want))
		g.Expect(out.arrived).To(Equal(want != verdict.NotRun))
	}
}

// Guards against reporting a request as not run when the backend server may have received it.
func TestFailedSendTellsWhetherTheRequestMayHaveRun(t *testing.T) {
	g := NewWithT(t)
	n := single(t)
	for stage, want := range map[httpclient.Stage]verdict.Verdict{httpclient.NotSent: verdict.NotRun, httpclient.Sent: verdict.MayHaveRun} {
		out := n.Node.backend.failedOutcome(context.Background(), bookingTicket, "id", &httpclient.Error{Stage: stage, Err: errors.New("connection reset")})
		g.Expect(out.err.Verdict).To(Equal(want))
	}
}

// Guards against a truncated response that looks complete to the client.
func TestTruncatedBodyIsReported(t *testing.T) {
	g := NewWithT(t)
	g.Expect(copyBody(&discard{}, &cutReader{})).To(BeFalse())
}

type discard struct{}

func (d *discard) Write(p []byte) (int, error) { return len(p), nil }

// cutReader ends with an error after some bytes.
type cutReader struct{ read bool }

func (r *cutReader) Read(p []byte) (int, error) {
	if r.read {
		return 0, errors.New("connection reset")
	}
	r.read = true
	return min(len(p), 10), nil
}

// Guards against grants by a node without a lease: the tracker must get the end of the
// node's lease.
func TestNodeWithoutALeaseGrantsNothing(t *testing.T) {
	g := NewWithT(t)
	n := single(t)
	n.stopHeartbeats()
	b := n.Node.backend
	heartbeat := func() grant.Reply {
		b.mu.Lock()
		hb := b.lastHeartbeat
		hb.Sequence++
		b.mu.Unlock()
		g.Expect(b.processHeartbeat(hb)).To(BeTrue())
		return b.reply(t.Context(), hb)
	}
	g.Expect(heartbeat().Renew).To(BeTrue())
	n.lease.mu.Lock()
	n.lease.until, n.lease.requested = time.Time{}, nil
	n.lease.mu.Unlock()
	g.Expect(heartbeat().Renew).To(BeFalse())
}

// Guards against a heartbeat of an earlier incarnation, or one that arrives out of order. It
// would grant keys to a backend server that has ended, or report holds that it no longer has.
func TestOldHeartbeatsAreIgnored(t *testing.T) {
	g := NewWithT(t)
	n := single(t)
	n.stopHeartbeats()
	b := n.Node.backend
	b.mu.Lock()
	hb := b.lastHeartbeat
	b.mu.Unlock()
	g.Expect(b.processHeartbeat(hb)).To(BeFalse(), "same sequence")
	older := hb
	older.Sequence--
	g.Expect(b.processHeartbeat(older)).To(BeFalse(), "overtaken")
	earlier := hb
	earlier.StartedMS, earlier.Sequence = hb.StartedMS-1, hb.Sequence+10
	g.Expect(b.processHeartbeat(earlier)).To(BeFalse(), "earlier incarnation")
	g.Expect(b.trackedOwner().Incarnation).To(Equal(hb.Incarnation()))
}

// Guards against two owners of a key: a backend server without heartbeats, but with an open
// port, may hold its keys until its holds expire.
func TestSilentBackendServerKeepsItsKeysUntilItsHoldsExpire(t *testing.T) {
	g := NewWithT(t)
	n := single(t)
	n.stopHeartbeats()
	n.withBackend(func(b *backend) { b.lastHeartbeatAt = boottimeNow().Add(-heartbeatTimeout - time.Second) })
	b := n.Node.backend
	b.mu.Lock()
	until := b.tracker.Until()
	b.mu.Unlock()
	b.checkHeartbeats(t.Context())
	g.Expect(boottimeNow()).To(BeTemporally("<", until))
	g.Expect(n.trackedState()).To(Equal(BackendReady))
	g.Eventually(n.trackedState, 10*time.Second).Should(Equal(BackendDown))
	g.Expect(boottimeNow()).To(BeTemporally(">", until))
}

// Guards against two owners of a key after a restart of the node: a backend server may hold
// the keys that an earlier process granted it until those grants expire.
func TestEarlierGrantsAreWaitedOut(t *testing.T) {
	g := NewWithT(t)
	n := single(t)
	n.stopHeartbeats()
	owner := n.Node.backend.trackedOwner()
	earlierGrantsEnd := boottimeNow().Add(time.Minute)
	n.lease.mu.Lock()
	n.lease.earlierGrantsEnd = earlierGrantsEnd
	n.lease.mu.Unlock()
	b := n.Node.backend
	b.mu.Lock()
	last := b.lastHeartbeat
	b.tracker = nil
	b.mu.Unlock()
	b.dropEarlier(t.Context(), boottimeNow())
	g.Expect(n.views.current().Keys["booking"].OwnedBy(owner)).NotTo(BeEmpty())
	last.Sequence++
	g.Expect(b.processHeartbeat(last)).To(BeTrue())
	b.mu.Lock()
	defer b.mu.Unlock()
	g.Expect(b.tracker.Until()).To(BeTemporally("==", earlierGrantsEnd))
}

// Guards against a desired state that goes back to an older version, which a response that
// arrives out of order may carry.
func TestDesiredStateDoesNotGoBack(t *testing.T) {
	g := NewWithT(t)
	n := single(t)
	before := n.views.current().Routes
	row := simProtocol{}.DesiredStateRow()
	n.views.apply(metastore.Row{Key: row, Value: []byte(`{"Version":0}`), Version: 1 << 40})
	g.Expect(n.views.current().Routes).To(BeIdenticalTo(before))
	n.views.apply(metastore.Row{Key: row, Value: []byte(`not JSON`), Version: 1 << 41})
	g.Expect(n.views.current().Routes).To(BeIdenticalTo(before))
}

// Guards against taking keys from a node whose lease was renewed after the planner read it.
func TestRenewedLeaseKeepsItsKeys(t *testing.T) {
	g := NewWithT(t)
	n := single(t)
	listing, err := n.Node.store.List(t.Context(), leaseTable)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(listing.Rows).To(HaveLen(1))
	owner := n.Node.backend.trackedOwner()
	n.planner.fence(t.Context(), lostHolder(n.config.Instance, listing.Rows[0].Version-1))
	g.Expect(n.views.current().Keys["booking"].OwnedBy(owner)).NotTo(BeEmpty())
	listing, err = n.Node.store.List(t.Context(), leaseTable)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(listing.Rows).To(HaveLen(1))
}

// Guards against a lost update: a plan must not undo a change that its planner has not seen.
func TestKeyTableIsWrittenOnlyIfUnchanged(t *testing.T) {
	g := NewWithT(t)
	n := single(t)
	owner := n.Node.backend.trackedOwner()
	staleView := newViewStore(simProtocol{}, zap.NewNop())
	listing, err := n.Node.store.List(t.Context(), clusterTable)
	g.Expect(err).NotTo(HaveOccurred())
	staleView.replace(clusterTable, listing)
	edit := func(key uint16) keyEdit {
		return func(s *keyrange.Space) (*keyrange.Space, metastore.Txn, error) {
			next, err := s.BeginMove(keyrange.Span{From: key, To: key}, owner, keyrange.Owner{Instance: "instance-9", Incarnation: "b-1"})
			return next, metastore.Txn{}, err
		}
	}
	g.Expect(n.writer.update(t.Context(), "booking", edit(10))).To(Succeed())
	staleWriter := newKeyWriter(n.Node.store, staleView, n.lease, zap.NewNop())
	g.Expect(staleWriter.update(t.Context(), "booking", edit(20))).To(Succeed())
	table := staleView.current().Keys["booking"]
	g.Expect(table.Find(10).Moving()).To(BeTrue(), "the first change is still there")
	g.Expect(table.Find(20).Moving()).To(BeTrue())
}

// Guards against keys that go back and forth between nobody and a member that is gone: its lease
// row is missing, but its member row is still there.
func TestMemberWithoutALeaseLosesItsKeysForGood(t *testing.T) {
	g := NewWithT(t)
	n := single(t)
	gone := Member{Owner: keyrange.Owner{Instance: "instance-9", Incarnation: "b-9@1"}, Service: "booking", Slots: 4, State: BackendReady}
	row, err := cbor.Marshal(gone)
	g.Expect(err).NotTo(HaveOccurred())
	owner := n.Node.backend.trackedOwner()
	g.Expect(n.writer.update(t.Context(), "booking", func(s *keyrange.Space) (*keyrange.Space, metastore.Txn, error) {
		span := keyrange.Span{From: 0, To: 99}
		s, err := s.BeginMove(span, owner, gone.Owner)
		if err == nil {
			s, err = s.Release(span, owner, "")
		}
		return s, metastore.Txn{Writes: []metastore.Write{{Key: memberKey("instance-9"), Value: row}}}, err
	})).To(Succeed())
	g.Eventually(func() keyrange.Owner { return n.views.current().Keys["booking"].Find(7).Owner }, 10*time.Second, 20*time.Millisecond).Should(Equal(owner))
	g.Expect(n.views.current().Members).NotTo(HaveKey("instance-9"))
}
