package node

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/basilway/basilway/grant"
	"github.com/basilway/basilway/httproute"
	"github.com/basilway/basilway/internal/testport"
	"github.com/basilway/basilway/metastore"
	"github.com/basilway/basilway/metastore/memory"
	"github.com/basilway/basilway/quarantine"
)

// testNode is a running node with its simulated backend server.
type testNode struct {
	*Node
	cluster *testCluster
	config  Config
	sim     *backendSim
	cancel  context.CancelFunc
	done    chan error
}

// testCluster is a set of nodes that share one store.
type testCluster struct {
	t     *testing.T
	store *memory.Store
	nodes []*testNode
	holds *holdChecker
	log   *zap.Logger
	// learnCapacity is set if the nodes that are added learn capacities.
	learnCapacity bool
	// desired is the initial desired state.
	desired httproute.Snapshot
	// zones are the availability zones that new nodes are in, in turn; without any all are in one.
	zones []string
	// regions are the regions of the zones.
	regions map[string]string
	// evacuate is the nodes' bound for evacuations.
	evacuate time.Duration
	// preferZone is that of new nodes.
	preferZone bool
}

// setLimits publishes a desired state with other limits for clients.
func (c *testCluster) setLimits(limits httproute.Limits) {
	next := c.desired
	next.Version++
	next.Limits = limits
	c.setDesiredState(next)
}

func newTestCluster(t *testing.T, n int) *testCluster {
	t.Helper()
	c := &testCluster{t: t, store: memory.New(memory.Rates{}, 1), holds: newHoldChecker(), log: newTestLogger(t), desired: httproute.Snapshot{
		Version:  1,
		Services: []httproute.Service{{Name: "booking", Sharded: true, HealthPath: "/health"}},
		Routes: []httproute.Route{
			{Name: "lookup", Host: "shop.example", Prefix: "/lookup/", Kind: httproute.Idempotent, Timeout: 2 * time.Second, TargetLatency: time.Second, MaxAttempts: 2, Destinations: []httproute.Destination{{Service: "booking", Weight: 1}}},
			{Name: "book", Host: "shop.example", Prefix: "/book/", Timeout: 2 * time.Second, TargetLatency: time.Second, Priority: 1, MaxAttempts: 2, Destinations: []httproute.Destination{{Service: "booking", Weight: 1}}},
		},
	}}
	c.setDesiredState(c.desired)
	t.Cleanup(func() {
		for _, n := range c.nodes {
			n.cancel()
		}
		for _, n := range c.nodes {
			<-n.done
		}
	})
	for i := range n {
		c.add(fmt.Sprintf("instance-%d", i))
	}
	return c
}

func (c *testCluster) setDesiredState(s httproute.Snapshot) {
	data, err := json.Marshal(s)
	if err == nil {
		err = c.store.Commit(context.Background(), metastore.Txn{Writes: []metastore.Write{{Key: simProtocol{}.DesiredStateRow(), Value: data}}})
	}
	if err != nil {
		c.t.Fatal(err)
	}
}

// add starts a node with a backend server.
func (c *testCluster) add(instance string) *testNode {
	zone := "z"
	if len(c.zones) > 0 {
		zone = c.zones[len(c.nodes)%len(c.zones)]
	}
	config := Config{
		Instance: instance, Zone: zone, Region: c.regions[zone], Zones: c.regions, Service: "booking",
		ClientAddress: testport.Reserve(c.t), ReadyAddress: testport.Reserve(c.t), HeartbeatAddress: testport.Reserve(c.t), PeerAddress: testport.Reserve(c.t),
		Store: c.store, Protocol: simProtocol{}, PreferZone: c.preferZone, LearnCapacity: c.learnCapacity,
		Bounds: Bounds{DrainTimeout: 2 * time.Second, StopTimeout: 6 * time.Second, MaxHold: 10 * time.Second, RetryShare: 0.2, RetryWindow: 10 * time.Second, RetryExtra: 60, Evacuate: c.evacuate},
	}
	n := &testNode{cluster: c, config: config, sim: newBackendSim(c.t, "b-"+instance, "booking", config.HeartbeatAddress)}
	n.config.BackendAddress = n.sim.address()
	n.sim.mu.Lock()
	n.sim.checker = c.holds
	n.sim.mu.Unlock()
	c.nodes = append(c.nodes, n)
	n.start()
	return n
}

func (n *testNode) start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.Node, n.cancel, n.done = New(n.config, n.cluster.log.With(zap.String("instance", n.config.Instance))), cancel, make(chan error, 1)
	go func() { n.done <- n.Run(ctx) }()
}

// waitSettled waits until each key of a sample has exactly one holder and each node knows all
// members.
func (c *testCluster) waitSettled() {
	c.t.Helper()
	NewWithT(c.t).Eventually(func() bool {
		for key := 0; key < 65536; key += 997 {
			if c.holders(uint16(key)) != 1 {
				return false
			}
		}
		for _, n := range c.nodes {
			if len(n.views.current().Members) != len(c.nodes) {
				return false
			}
		}
		return true
	}, 30*time.Second, 20*time.Millisecond).Should(BeTrue())
}

func (c *testCluster) holders(key uint16) int {
	holders := 0
	for _, n := range c.nodes {
		if n.sim.holds(key) {
			holders++
		}
	}
	return holders
}

// Guards against a request that does not reach the only owner of its key, or reaches it
// changed, whichever node receives it.
func TestEveryNodeReachesTheOwner(t *testing.T) {
	g := NewWithT(t)
	c := newTestCluster(t, 3)
	c.waitSettled()
	for i := range 30 {
		key := i * 2111
		status, body, header, err := send(context.Background(), "POST", c.nodes[i%3].config.ClientAddress, "/book/a%2Fb?q=1", fmt.Sprint("r", i), key, "payload")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status).To(Equal(200), body)
		g.Expect(body).To(Equal("booking /book/a%2Fb?q=1 payload"))
		g.Expect(header.Get(simSeal)).NotTo(BeEmpty())
		g.Expect(header.Get(simID)).To(Equal(fmt.Sprint("r", i)))
	}
	status, _, _, err := send(context.Background(), "GET", c.nodes[0].config.ClientAddress, "/unknown/", "x", 1, "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(404))
	for _, n := range c.nodes {
		g.Expect(n.sim.maxRuns()).To(BeNumerically("<=", 1))
	}
}

// load counts the results of requests that are sent until stop is called.
type load struct {
	stop       func()
	served     atomic.Int64
	refused    atomic.Int64
	connErrors atomic.Int64
	other      sync.Map
}

// startLoad sends requests through the given nodes in turn.
func (c *testCluster) startLoad(nodes ...*testNode) *load {
	l := &load{}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for worker := range 8 {
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				n := nodes[(worker+i)%len(nodes)]
				id := fmt.Sprintf("w%d-%d", worker, i)
				status, body, _, err := send(context.Background(), "POST", n.config.ClientAddress, "/book/x", id, (worker*8192+i*37)%65536, "p")
				switch {
				case err != nil:
					l.connErrors.Add(1)
					l.other.Store(err.Error(), true)
				case status == 200:
					l.served.Add(1)
				case status == 503:
					l.refused.Add(1)
				default:
					l.other.Store(fmt.Sprint(status, body), true)
				}
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	l.stop = func() {
		cancel()
		wg.Wait()
	}
	return l
}

func (l *load) unexpected() []any {
	var out []any
	l.other.Range(func(key, _ any) bool {
		out = append(out, key)
		return true
	})
	return out
}

// Guards against keys that are lost or held twice while a backend server leaves: its keys
// move by handover, and requests for them are served throughout.
func TestDrainMovesKeysWithoutFailures(t *testing.T) {
	g := NewWithT(t)
	c := newTestCluster(t, 3)
	c.waitSettled()
	l := c.startLoad(c.nodes[1], c.nodes[2])
	leaving := c.nodes[0].sim
	leaving.mu.Lock()
	leaving.state = grant.Draining
	leaving.mu.Unlock()
	g.Eventually(func() bool {
		leaving.mu.Lock()
		defer leaving.mu.Unlock()
		return len(leaving.granted) == 0
	}, 20*time.Second, 10*time.Millisecond).Should(BeTrue())
	g.Eventually(func() bool {
		for key := 0; key < 65536; key += 997 {
			if c.holders(uint16(key)) != 1 {
				return false
			}
		}
		return true
	}, 20*time.Second, 20*time.Millisecond).Should(BeTrue())
	l.stop()
	g.Expect(l.unexpected()).To(BeEmpty())
	g.Expect(l.served.Load()).To(BeNumerically(">", 0))
	warm := 0
	for _, r := range c.nodes[1].views.current().Keys["booking"].Ranges() {
		g.Expect(r.Owner.Instance).NotTo(Equal(c.nodes[0].config.Instance))
		if r.Handover != "" {
			warm++
		}
	}
	g.Expect(warm).To(BeNumerically(">", 0))
	for _, n := range c.nodes {
		g.Expect(n.sim.maxRuns()).To(BeNumerically("<=", 1), "a request that is not idempotent ran twice")
	}
}

// Guards against a planned stop that aborts a request on the node that received it, and
// against a restart of the node that takes the keys away from a running backend server.
func TestStopAndRestartOfNode(t *testing.T) {
	g := NewWithT(t)
	c := newTestCluster(t, 3)
	c.waitSettled()
	before := c.nodes[0].views.current().Keys["booking"].OwnedBy(c.nodes[0].Node.backend.owner())
	g.Expect(before).NotTo(BeEmpty())
	l := c.startLoad(c.nodes...)
	c.nodes[0].cancel()
	g.Eventually(c.nodes[0].done, 10*time.Second).Should(Receive(BeNil()))
	c.nodes[0].start()
	g.Eventually(func() bool { return c.nodes[0].views.current().Listed }, 10*time.Second).Should(BeTrue())
	time.Sleep(300 * time.Millisecond)
	l.stop()
	for _, problem := range l.unexpected() {
		// While the port is closed, connections are refused or closed before a request. The last text
		// is that of net/http for a new connection that was closed before it was used.
		g.Expect(problem).To(Or(ContainSubstring("connection refused"), ContainSubstring("reset"), ContainSubstring("EOF"), ContainSubstring("server closed idle connection")))
	}
	after := c.nodes[0].views.current().Keys["booking"].OwnedBy(before[0].Owner)
	g.Expect(after).NotTo(BeEmpty(), "the backend server must keep its keys across a restart of the node")
	for _, n := range c.nodes {
		g.Expect(n.sim.maxRuns()).To(BeNumerically("<=", 1))
	}
}

// Guards against requests that are sent to a backend server that must not get them: each
// condition is checked just before the first byte is sent.
func TestGatesOfTheBackendServer(t *testing.T) {
	g := NewWithT(t)
	n := single(t)
	b := n.Node.backend
	g.Expect(b.gate(bookingTicket)).To(BeNil())

	b.mu.Lock()
	tracker, state := b.tracker, b.state
	b.tracker = grant.NewTracker(grant.DefaultConfig(), tracker.Owner(), time.Time{})
	b.mu.Unlock()
	g.Expect(b.gate(bookingTicket).Reason).To(BeEquivalentTo("not_owner"), "no grant")
	b.mu.Lock()
	b.tracker, b.state = tracker, BackendDown
	b.mu.Unlock()
	g.Expect(b.gate(bookingTicket).Reason).To(BeEquivalentTo("backend_unavailable"))
	b.mu.Lock()
	b.state, b.leaveAcked = state, boottimeNow().Add(-n.config.Bounds.DrainTimeout)
	b.mu.Unlock()
	g.Expect(b.gate(bookingTicket).Reason).To(BeEquivalentTo("draining"))
}

// Guards against two owners: a backend server that leaves closes its port before it has
// finished its last requests, and holds their keys until then.
func TestClosedPortDoesNotEndBusyBackendServer(t *testing.T) {
	g := NewWithT(t)
	n := single(t)
	b := n.Node.backend
	sim := n.sim
	sim.mu.Lock()
	sim.quiet = true
	sim.mu.Unlock()
	time.Sleep(heartbeatEvery) // for a heartbeat in flight
	sim.server.Listener.Close()
	b.mu.Lock()
	b.leaveAcked = boottimeNow()
	b.running[42] = 1
	b.mu.Unlock()
	b.recordPortClosed()
	g.Consistently(n.trackedState, 3*reconcileInterval).ShouldNot(Equal(BackendDown))
	b.endRun(42, quarantine.Ticket{})
	g.Eventually(n.trackedState, 10*reconcileInterval).Should(Equal(BackendDown))
}

// Guards against requests to a backend server whose leave was acknowledged just after the
// node restarted, before the first heartbeat to the new process.
func TestLeaveRightAfterRestartTakesEffect(t *testing.T) {
	g := NewWithT(t)
	n := single(t)
	n.sim.mu.Lock()
	n.sim.quiet = true
	n.sim.mu.Unlock()
	n.cancel()
	g.Eventually(n.done, 10*time.Second).Should(Receive(BeNil()))
	n.start()
	b := n.Node.backend
	g.Eventually(func() any { return b.gate(bookingTicket) }, 3*time.Second).Should(BeNil(), "adopted from the store")
	b.markLeaving(n.sim.id)
	b.mu.Lock()
	b.leaveAcked = b.leaveAcked.Add(-n.config.Bounds.DrainTimeout)
	b.mu.Unlock()
	g.Expect(b.gate(bookingTicket).Reason).To(BeEquivalentTo("draining"))
	g.Eventually(func() BackendState { return n.views.current().Members[n.config.Instance].State }, 5*time.Second).Should(Equal(BackendDraining))
	// A heartbeat that was sent before the leave changes nothing.
	b.processHeartbeat(grant.Heartbeat{ID: n.sim.id, StartedMS: 1, Address: n.sim.address(), Service: "booking", Slots: 4, Sequence: 9999})
	g.Expect(b.gate(bookingTicket).Reason).To(BeEquivalentTo("draining"))
}

// Guards against a restarted node that adopts a leaving backend server from the store: the
// earlier process may have acknowledged the leave while the store was unreachable.
func TestLeavingBackendServerIsNotAdopted(t *testing.T) {
	g := NewWithT(t)
	n := single(t)
	n.sim.mu.Lock()
	n.sim.quiet, n.sim.state = true, grant.Draining
	n.sim.mu.Unlock()
	n.cancel()
	g.Eventually(n.done, 10*time.Second).Should(Receive(BeNil()))
	n.start()
	g.Eventually(func() bool { return n.views.current().Listed }, 10*time.Second).Should(BeTrue())
	g.Consistently(func() any { return n.Node.backend.gate(bookingTicket) }, time.Second).ShouldNot(BeNil())
	n.Node.backend.processHeartbeat(grant.Heartbeat{ID: n.sim.id, StartedMS: 1, Address: n.sim.address(), Service: "booking", Slots: 4, Sequence: 9999, State: grant.Draining})
	g.Expect(n.Node.backend.gate(bookingTicket).Reason).To(BeEquivalentTo("draining"))
}
