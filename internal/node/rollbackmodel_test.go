package node

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/grant"
	"github.com/basilway/basilway/keyrange"
	"github.com/basilway/basilway/metastore/memory"
)

// rollbackSeeds returns the seeds of the model test. ROLLBACK_SEEDS and ROLLBACK_FROM choose
// others by hand.
func rollbackSeeds() []uint64 {
	count, from := 24, uint64(1)
	if n, err := strconv.Atoi(os.Getenv("ROLLBACK_SEEDS")); err == nil {
		count = n
	}
	if n, err := strconv.ParseUint(os.Getenv("ROLLBACK_FROM"), 10, 64); err == nil {
		from = n
	}
	var out []uint64
	for i := range count {
		out = append(out, from+uint64(i))
	}
	return out
}

// Guards against two holders of a key, tokens that don't increase and keys that stay without
// an owner, whenever the store goes back among restarts, lost machines, leaves, moves and cuts.
func TestModelKeepsOneHolderWhenTheStoreGoesBack(t *testing.T) {
	for _, seed := range rollbackSeeds() {
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runRollbackModel(t, seed) })
		})
	}
}

func runRollbackModel(t *testing.T, seed uint64) {
	g := NewWithT(t)
	c := newVirtualCluster(t, seed, 5, memory.Rates{})
	defer c.stop()
	_, ok := c.waitServed(30 * time.Second)
	g.Expect(ok).To(BeTrue(), "first assignment")
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); {
		c.injectFault()
		if c.rng.intN(2) == 0 {
			time.Sleep(c.rng.between(0, 3*time.Second))
		}
		g.Expect(c.holds.found()).To(BeEmpty())
	}
	for _, n := range c.nodes {
		n.isolated.Store(false)
		n.cutOff.Store(false)
	}
	time.Sleep(longestFault)
	_, ok = c.waitServed(30 * time.Second)
	g.Expect(c.holds.found()).To(BeEmpty())
	g.Expect(ok).To(BeTrue(), "all keys are served again")
}

// restoreTarget is how long after the store's return all keys are recorded again.
const restoreTarget = 2 * time.Second

// Guards against live owners that lose keys in a drill that takes back five seconds, and against
// keys that are recorded too late, within the rates of the users' store, in a larger cluster.
// ROLLBACK_NODES chooses its size by hand.
func TestLargerClusterServesThroughADrill(t *testing.T) {
	size := 30
	if n, err := strconv.Atoi(os.Getenv("ROLLBACK_NODES")); err == nil {
		size = n
	}
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newVirtualCluster(t, 1, size, memory.Rates{Reads: 2000, Writes: 400})
		defer c.stop()
		_, ok := c.waitServed(time.Minute)
		g.Expect(ok).To(BeTrue())
		time.Sleep(10 * time.Second)
		for i := range 20 { // moves in the seconds that are lost
			c.addDemand(c.nodes[i%size], uint16(i*3000), 400*time.Millisecond)
			time.Sleep(250 * time.Millisecond)
		}
		var unserved int
		watched := make(chan struct{})
		drillEnds := time.Now().Add(5 * time.Second)
		c.pending.Go(func() {
			defer close(watched)
			for time.Now().Before(drillEnds) {
				unserved = max(unserved, c.unservedBut(c.moving))
				time.Sleep(20 * time.Millisecond)
			}
		})
		c.goBack(5*time.Second, time.Second)
		returned, before, polls := time.Now(), c.store.Counts(), uint64(0)
		for !c.recorded() && time.Since(returned) < 20*time.Second {
			time.Sleep(10 * time.Millisecond)
			polls++
		}
		took, after := time.Since(returned), c.store.Counts()
		<-watched
		t.Logf("%d nodes: recorded again after %v, with %d reads and %d writes, %d of these in conflict; %d of %d sampled keys without one holder at the most",
			size, took, after.Reads-before.Reads-polls-1, after.Writes+after.Conflicts-before.Writes-before.Conflicts, after.Conflicts-before.Conflicts, unserved, keyrange.MaxKey/holdStep+1)
		g.Expect(took).To(BeNumerically("<=", restoreTarget))
		g.Expect(unserved).To(BeZero(), "live owners serve their keys through the drill")
		g.Expect(c.holds.found()).To(BeEmpty())
	})
}

// recorded reports whether all key tables were written in the present generation of the store and
// all their ranges are confirmed.
func (c *virtualCluster) recorded() bool {
	listing, err := c.store.List(c.t.Context(), clusterTable)
	if err != nil {
		return false
	}
	views := newViewStore(simProtocol{}, c.log)
	views.replace(clusterTable, listing)
	space, ok := views.current().Keys["booking"]
	for key := 0; ok && key <= keyrange.MaxKey; key += holdStep {
		ok = space.SettledIn(c.store.Generation(), uint16(key)) && !space.Find(uint16(key)).Owner.IsZero()
	}
	return ok
}

// longestFault is how long a fault may last.
const longestFault = 15 * time.Second

// injectFault injects a random fault. Some of them last while others follow.
func (c *virtualCluster) injectFault() {
	n := c.nodes[c.rng.intN(len(c.nodes))]
	switch fault := c.rng.intN(12); fault {
	case 0, 1, 2:
		age, away := c.rng.between(0, 6*time.Second), c.rng.between(0, 2*time.Second)
		c.t.Logf("%v: the store goes back by %v after %v", time.Now().Format("05.000"), age, away)
		c.goBack(age, away)
	case 3, 4:
		if n.running() == nil {
			return
		}
		pause := c.rng.between(0, 2*time.Second)
		if c.rng.intN(4) == 0 {
			pause = 12 * time.Second // its lease expires
		}
		c.t.Logf("%v: %s stops for %v", time.Now().Format("05.000"), n.config.Instance, pause)
		n.stop()
		c.later(pause, n.start)
	case 5:
		sim := n.backend()
		if sim == nil {
			return
		}
		c.t.Logf("%v: backend of %s restarts", time.Now().Format("05.000"), n.config.Instance)
		n.crashBackend()
		c.later(c.rng.between(100*time.Millisecond, 4*time.Second), n.startBackend)
	case 6:
		sim := n.backend()
		if sim == nil {
			return
		}
		c.t.Logf("%v: backend of %s leaves", time.Now().Format("05.000"), n.config.Instance)
		sim.mu.Lock()
		sim.state = grant.Draining
		sim.mu.Unlock()
		c.later(5*time.Second, func() {
			if n.backend() == sim {
				n.crashBackend()
				n.startBackend()
			}
		})
	case 7:
		c.t.Logf("%v: %s is isolated", time.Now().Format("05.000"), n.config.Instance)
		n.isolated.Store(true)
		c.later(c.rng.between(0, 8*time.Second), func() { n.isolated.Store(false) })
	case 8:
		c.t.Logf("%v: %s doesn't reach the store", time.Now().Format("05.000"), n.config.Instance)
		n.cutOff.Store(true)
		c.later(c.rng.between(0, 14*time.Second), func() { n.cutOff.Store(false) })
	case 9:
		c.powerLoss()
	case 10:
		c.replaceMachine(n)
	case 11:
		from := uint16(c.rng.intN(60000))
		for range 10 {
			c.addDemand(n, from, 400*time.Millisecond)
			time.Sleep(200 * time.Millisecond)
		}
	}
}

// powerLoss ends all processes and backend servers. The store goes back meanwhile.
func (c *virtualCluster) powerLoss() {
	c.t.Logf("%v: all machines lose power", time.Now().Format("05.000"))
	var stopped []*virtualNode
	for _, n := range c.nodes {
		n.crashBackend()
		if n.running() != nil {
			n.stop()
			stopped = append(stopped, n)
		}
	}
	if c.rng.intN(2) == 0 {
		c.goBack(c.rng.between(0, 6*time.Second), c.rng.between(0, time.Second))
	}
	for _, n := range c.nodes {
		n.startBackend()
	}
	for _, n := range stopped {
		n.start()
	}
}

// replaceMachine removes a machine for good. A new one gets its address.
func (c *virtualCluster) replaceMachine(n *virtualNode) {
	if n.running() == nil || n.backend() == nil {
		return
	}
	c.t.Logf("%v: %s is replaced", time.Now().Format("05.000"), n.config.Instance)
	n.crashBackend()
	n.stop()
	n.replace(fmt.Sprint(n.config.Instance, "'"))
}
