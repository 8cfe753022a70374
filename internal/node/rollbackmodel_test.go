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
	c := newVirtualCluster(t, seed, 5)
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
		n.setIsolated(false)
		n.setCutOff(false)
	}
	time.Sleep(longestFault)
	_, ok = c.waitServed(30 * time.Second)
	g.Expect(c.holds.found()).To(BeEmpty())
	g.Expect(ok).To(BeTrue(), "all keys are served again")
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
		n.setIsolated(true)
		c.later(c.rng.between(0, 8*time.Second), func() { n.setIsolated(false) })
	case 8:
		c.t.Logf("%v: %s doesn't reach the store", time.Now().Format("05.000"), n.config.Instance)
		n.setCutOff(true)
		c.later(c.rng.between(0, 14*time.Second), func() { n.setCutOff(false) })
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
