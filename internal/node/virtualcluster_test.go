package node

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/grant"
	"github.com/basilway/basilway/keyrange"
	"github.com/basilway/basilway/metastore"
	"github.com/basilway/basilway/metastore/memory"
)

// virtualCluster runs the tasks of nodes, without their servers, in the virtual time of a
// synctest bubble. Messages between nodes and heartbeats are function calls with delays.
type virtualCluster struct {
	t     *testing.T
	rng   *lockedRand
	store *memory.Store
	holds *holdChecker
	log   *zap.Logger
	nodes []*virtualNode
	// pending are the faults that have yet to end, and the backend servers.
	pending sync.WaitGroup
	// messages counts the messages between nodes by path, watches those of the store by table.
	messages, watches callCounts
	// largest is the size in bytes of the largest message between nodes or response to one, by path.
	largest callSizes
	// linkCut, if set, reports whether messages between two nodes are lost.
	linkMu  sync.Mutex
	linkCut func(from, to *virtualNode) bool
	// zones are the availability zones that new nodes are in, in turn; without any all are in one.
	zones []string
	// evacuate is the nodes' bound for evacuations.
	evacuate time.Duration
	// lateWrites are writes that the store does late.
	lateWrites lateWrites
	// heartbeat, if not 0, is the interval of the heartbeats of the backend servers.
	heartbeat time.Duration
	// linkRate is the rate of each direction of the instances' links in bytes per second; 0 for no limit.
	linkRate float64
}

// lockedRand is a random generator for concurrent use.
type lockedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func (r *lockedRand) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

// between returns a random duration.
func (r *lockedRand) between(from, to time.Duration) time.Duration {
	return from + time.Duration(r.intN(int(to-from)))
}

// virtualNode is a node that can be stopped and started, with its backend server.
type virtualNode struct {
	cluster *virtualCluster
	config  Config

	mu     sync.Mutex
	node   *Node // nil while it is stopped
	cancel context.CancelFunc
	tasks  *sync.WaitGroup
	sim    *backendSim // nil while it is down
	lives  int64

	// isolated is set while it reaches no other node, cutOff while it doesn't reach the store.
	isolated atomic.Bool
	cutOff   storeCut
	// uplink and downlink are the directions of the instance's link.
	uplink, downlink virtualLink
	// silences counts how often calls to the store that were under way lost their answers.
	silences atomic.Int64
	// openWatches counts the watches of the store that are under way, by table.
	openWatches callCounts
}

func newVirtualCluster(t *testing.T, seed uint64, size int, rates memory.Rates) *virtualCluster {
	c := &virtualCluster{t: t, rng: &lockedRand{rng: rand.New(rand.NewPCG(seed, 1))}, store: memory.New(rates, seed), holds: newHoldChecker(), log: zap.NewNop()}
	if dir := os.Getenv("ROLLBACK_LOGS"); dir != "" {
		config := zap.NewDevelopmentConfig()
		config.OutputPaths = []string{filepath.Join(dir, fmt.Sprint("seed-", seed, ".log"))}
		var err error
		if c.log, err = config.Build(); err != nil {
			t.Fatal(err)
		}
	}
	data := []byte(`{"Version":1,"Services":[{"Name":"booking","Sharded":true,"HealthPath":"/health"}]}`)
	if err := c.store.Commit(t.Context(), metastore.Txn{Writes: []metastore.Write{{Key: simProtocol{}.DesiredStateRow(), Value: data}}}); err != nil {
		t.Fatal(err)
	}
	for i := range size {
		c.add(fmt.Sprint("instance-", i), fmt.Sprint("peer-", i))
	}
	return c
}

// newServedCluster returns a cluster in which each sampled key has a holder.
func newServedCluster(t *testing.T, size int) *virtualCluster {
	c := newVirtualCluster(t, 1, size, memory.Rates{})
	if _, ok := c.waitServed(30 * time.Second); !ok {
		t.Fatal("the keys are not assigned")
	}
	return c
}

// add starts a node at an address.
func (c *virtualCluster) add(instance, address string) *virtualNode {
	zone := "z"
	if len(c.zones) > 0 {
		zone = c.zones[len(c.nodes)%len(c.zones)]
	}
	n := &virtualNode{cluster: c, config: Config{
		Instance: instance, Zone: zone, Service: "booking", PeerAddress: address + ":7380", Protocol: simProtocol{}, Now: time.Now,
		Bounds: Bounds{DrainTimeout: 2 * time.Second, StopTimeout: 6 * time.Second, MaxHold: 10 * time.Second, RetryShare: 0.2, RetryWindow: 10 * time.Second, RetryExtra: 60, Evacuate: c.evacuate},
	}}
	n.config.Store = virtualStore{c.store, n}
	c.nodes = append(c.nodes, n)
	n.startBackend()
	n.start()
	return n
}

// start starts a new process, if none runs.
func (n *virtualNode) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.node != nil {
		return
	}
	node := New(n.config, n.cluster.log.With(zap.String("node", n.config.Instance)))
	node.exchange = n.exchange
	node.backend.portRefused = func(context.Context) bool { return n.backend() == nil }
	var ctx context.Context
	ctx, n.cancel = context.WithCancel(n.cluster.t.Context())
	n.node, n.tasks = node, &sync.WaitGroup{}
	for _, task := range node.tasks() {
		n.tasks.Go(func() { task(ctx) })
	}
}

// stop ends the process, as SIGKILL does.
func (n *virtualNode) stop() {
	n.mu.Lock()
	cancel, tasks := n.cancel, n.tasks
	n.node = nil
	n.mu.Unlock()
	cancel()
	tasks.Wait()
}

// running returns the process, or nil.
func (n *virtualNode) running() *Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.node
}

func (n *virtualNode) backend() *backendSim {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sim
}

// replace starts another instance at the node's address.
func (n *virtualNode) replace(instance string) {
	n.mu.Lock()
	n.config.Instance = instance
	n.mu.Unlock()
	n.startBackend()
	n.start()
}

// startBackend starts the next life of the backend server, if none runs.
func (n *virtualNode) startBackend() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sim != nil {
		return
	}
	n.lives++
	n.sim = &backendSim{id: "b-" + n.config.Instance, service: "booking", slots: 4, startedMS: n.lives, stop: make(chan struct{}), checker: n.cluster.holds, every: n.cluster.heartbeat}
	n.sim.announce = func(hb grant.Heartbeat) (reply grant.Reply, ok bool) {
		time.Sleep(n.cluster.rng.between(0, 5*time.Millisecond))
		node := n.running()
		if node == nil || !node.backend.processHeartbeat(hb) {
			return reply, false
		}
		return node.backend.reply(n.cluster.t.Context(), hb), true
	}
	sim := n.sim
	n.cluster.pending.Go(func() {
		if sim.every > 0 {
			time.Sleep(n.cluster.rng.between(0, sim.every))
		}
		sim.runHeartbeats()
	})
}

// crashBackend ends the backend server.
func (n *virtualNode) crashBackend() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sim == nil {
		return
	}
	n.sim.mu.Lock()
	n.sim.quiet, n.sim.granted, n.sim.until = true, nil, time.Time{}
	n.cluster.holds.record(n.sim)
	n.sim.mu.Unlock()
	close(n.sim.stop)
	n.sim = nil
}

// cutLinks makes the messages that cut reports lost in both directions; nil restores all links.
func (c *virtualCluster) cutLinks(cut func(from, to *virtualNode) bool) {
	c.linkMu.Lock()
	defer c.linkMu.Unlock()
	c.linkCut = cut
}

// isCut reports whether a message is lost.
func (c *virtualCluster) isCut(from, to *virtualNode) bool {
	c.linkMu.Lock()
	defer c.linkMu.Unlock()
	return c.linkCut != nil && (c.linkCut(from, to) || c.linkCut(to, from))
}

var errLost = errors.New("message lost")

// exchange delivers a message to the process that runs at an address.
func (n *virtualNode) exchange(ctx context.Context, address, path string, body []byte) ([]byte, error) {
	n.cluster.messages.add(path)
	n.cluster.largest.observe(path, len(body))
	sleep(ctx, n.cluster.rng.between(time.Millisecond, 6*time.Millisecond))
	var target *Node
	var receiver *virtualNode
	for _, other := range n.cluster.nodes {
		if other.config.PeerAddress == address && !other.isolated.Load() && !n.isolated.Load() && !n.cluster.isCut(n, other) {
			if node := other.running(); node != nil {
				target, receiver = node, other
			}
		}
	}
	if target == nil {
		<-ctx.Done()
		return nil, errLost
	}
	n.cluster.carry(ctx, n, receiver, len(body))
	if ctx.Err() != nil {
		return nil, errLost
	}
	w := httptest.NewRecorder()
	target.peerCalls().ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body)).WithContext(ctx))
	n.cluster.largest.observe(path, w.Body.Len())
	sleep(ctx, n.cluster.rng.between(time.Millisecond, 6*time.Millisecond))
	n.cluster.carry(ctx, receiver, n, w.Body.Len())
	if ctx.Err() != nil || w.Code != http.StatusOK {
		return nil, errLost
	}
	return w.Body.Bytes(), nil
}

// addDemand reports work for a range of keys through a node, so that the planner moves them.
func (c *virtualCluster) addDemand(n *virtualNode, from uint16, work time.Duration) {
	node := n.running()
	if node == nil {
		return
	}
	for i := range uint16(16) {
		node.demand.add(ticket{service: "booking", sharded: true, key: from + i*64}, work)
	}
}

// unserved returns how many sampled keys don't have exactly one holder.
func (c *virtualCluster) unserved() int { return c.unservedBut(func(uint16) bool { return false }) }

// unservedBut is unserved without the keys that are excused.
func (c *virtualCluster) unservedBut(excused func(key uint16) bool) int {
	out := 0
	for key := 0; key <= keyrange.MaxKey; key += holdStep {
		holders := 0
		for _, n := range c.nodes {
			if sim := n.backend(); sim != nil && sim.holds(uint16(key)) {
				holders++
			}
		}
		if holders != 1 && !excused(uint16(key)) {
			out++
		}
	}
	return out
}

// moving reports whether a node knows of a planned move of key that is in progress. Between its
// release and the write that completes the move, nobody holds the key.
func (c *virtualCluster) moving(key uint16) bool {
	for _, n := range c.nodes {
		if node := n.running(); node != nil && node.views.current().Keys["booking"].Find(key).Moving() {
			return true
		}
	}
	return false
}

// waitServed waits until each sampled key has one holder, and returns how long that took.
func (c *virtualCluster) waitServed(limit time.Duration) (took time.Duration, ok bool) {
	start := time.Now()
	for c.unserved() > 0 {
		if time.Since(start) > limit {
			return limit, false
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start), true
}

// later calls f after d, in the background.
func (c *virtualCluster) later(d time.Duration, f func()) {
	c.pending.Go(func() {
		time.Sleep(d)
		f()
	})
}

// stop ends all processes and backend servers, once all faults have ended.
func (c *virtualCluster) stop() {
	time.Sleep(longestFault)
	for _, n := range c.nodes {
		n.crashBackend()
		if n.running() != nil {
			n.stop()
		}
	}
	c.pending.Wait()
}
