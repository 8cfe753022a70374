package node

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/metastore/memory"
)

// largeRates are the rates of the users' store for a cluster of 82 machines.
var largeRates = memory.Rates{Reads: 6000, Writes: 1200}

// waitSettled waits until all nodes have the same rows, and returns how long that took.
func (c *virtualCluster) waitSettled(limit time.Duration) (time.Duration, bool) {
	start := time.Now()
	for time.Since(start) < limit {
		sums := map[uint64]bool{}
		for _, n := range c.nodes {
			if node := n.running(); node != nil {
				sum, _ := node.views.digest()
				sums[sum] = true
			}
		}
		if len(sums) == 1 {
			return time.Since(start), true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return limit, false
}

// runLargeCluster runs a test with a cluster whose keys are all served and whose nodes have the same rows.
func runLargeCluster(t *testing.T, size int, test func(g *WithT, c *virtualCluster)) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newVirtualCluster(t, 1, size, largeRates)
		defer c.stop()
		_, ok := c.waitServed(time.Minute)
		g.Expect(ok).To(BeTrue())
		time.Sleep(5 * time.Second)
		_, ok = c.waitSettled(10 * time.Second)
		g.Expect(ok).To(BeTrue())
		test(g, c)
	})
}

// planner returns the node that plans.
func (c *virtualCluster) planner() *virtualNode {
	for _, n := range c.nodes {
		if node := n.running(); node != nil && node.views.current().Planner.Instance == n.config.Instance {
			return n
		}
	}
	return nil
}

// notPlanner returns a node that does not plan.
func (c *virtualCluster) notPlanner() *virtualNode {
	planner := c.planner()
	i := slices.IndexFunc(c.nodes, func(n *virtualNode) bool { return n != planner })
	return c.nodes[i]
}

// Guards against messages that grow as the square of the number of nodes: load pattern of a large
// cluster in which a row changes ten times a second. Each node gets each change about once, and soon.
func TestChangeOfARowReachesEachNodeOnce(t *testing.T) {
	const size, changes = 82, 20
	runLargeCluster(t, size, func(g *WithT, c *virtualCluster) {
		before := c.messages.of(rowsPath)
		var longest time.Duration
		for i := range changes {
			n := c.nodes[(7*i)%size].running()
			m := n.views.current().Members[n.config.Instance]
			m.Slots = 10 + i
			g.Expect(n.backend.writeMember(c.t.Context(), m)).To(Succeed())
			took, ok := c.waitSettled(2 * time.Second)
			g.Expect(ok).To(BeTrue())
			longest = max(longest, took)
		}
		sent := c.messages.of(rowsPath) - before
		c.t.Logf("%.1f messages a change for %d nodes; the slowest took %v", float64(sent)/changes, size, longest)
		// Backend servers' own rows are corrected by their nodes, which is a second change.
		g.Expect(sent).To(BeNumerically("<", 3*size*changes))
		g.Expect(longest).To(BeNumerically("<", 200*time.Millisecond), "before the next heartbeat")
	})
}

// Guards against a write for each key range that changes owner, with conflicts between their owners'
// nodes: load pattern of a release in a large cluster, where many backend servers leave at once.
func TestMovesThatCompleteTogetherShareTransactions(t *testing.T) {
	const size, leaving = 62, 20
	runLargeCluster(t, size, func(g *WithT, c *virtualCluster) {
		planner := c.planner()
		var left []*virtualNode
		for _, n := range c.nodes {
			if n != planner && len(left) < leaving {
				left = append(left, n)
			}
		}
		before := c.store.Counts()
		for _, n := range left {
			n.running().backend.markLeaving(n.backend().id)
		}
		gone := func() bool {
			space := planner.running().views.current().Keys["booking"]
			for _, n := range left {
				for _, r := range space.Ranges() {
					if r.Owner.Instance == n.config.Instance {
						return false
					}
				}
			}
			return true
		}
		g.Eventually(gone).WithTimeout(10 * time.Second).WithPolling(20 * time.Millisecond).Should(BeTrue())
		after := c.store.Counts()
		c.t.Logf("%d servers left: %d writes, %d of them in conflict", leaving, after.Writes+after.Conflicts-before.Writes-before.Conflicts, after.Conflicts-before.Conflicts)
		// One write for each member's state, and a few for the plans, the moves and the leases.
		g.Expect(after.Writes - before.Writes).To(BeNumerically("<", 2*leaving+30))
		g.Expect(after.Conflicts - before.Conflicts).To(BeNumerically("<", leaving/2))
		g.Expect(c.holds.found()).To(BeEmpty())
	})
}

// Guards against moves that stay open when the planner ends just as it is to record them.
func TestMovesCompleteWhenThePlannerEndsMeanwhile(t *testing.T) {
	runLargeCluster(t, 12, func(g *WithT, c *virtualCluster) {
		planner := c.planner()
		other := c.nodes[0]
		if other == planner {
			other = c.nodes[1]
		}
		other.running().backend.markLeaving(other.backend().id)
		g.Eventually(func() int { return c.messages.of(completedMovesPath) }).WithTimeout(5 * time.Second).
			WithPolling(time.Millisecond).Should(BeNumerically(">", 0))
		planner.stop()
		g.Eventually(func() bool {
			for _, r := range other.running().views.current().Keys["booking"].Ranges() {
				if r.Owner.Instance == other.config.Instance {
					return false
				}
			}
			return true
		}).WithTimeout(15 * time.Second).WithPolling(50 * time.Millisecond).Should(BeTrue())
		g.Expect(c.holds.found()).To(BeEmpty())
		planner.start()
	})
}

// Guards against a store call on each node for each change of the desired state.
func TestAChangeOfTheDesiredStateCostsAFewCalls(t *testing.T) {
	const size, changes = 62, 10
	runLargeCluster(t, size, func(g *WithT, c *virtualCluster) {
		table := tableOf(simProtocol{}.DesiredStateRow())
		before, started := c.watches.of(table), time.Now()
		for i := range changes {
			version := uint64(2 + i)
			c.setDesiredState(version)
			time.Sleep(applyTime)
			g.Expect(c.outdated(version)).To(BeEmpty())
		}
		watches := c.watches.of(table) - before
		steady := watchesPerSecond * time.Since(started).Seconds()
		c.t.Logf("%d watches for %d changes in %v", watches, changes, time.Since(started))
		g.Expect(float64(watches)).To(BeNumerically("<", 1.5*steady+1.5*desiredStateWatchers*changes))
	})
}

// Guards against a desired state that nobody learns of, because the store turns away all nodes that
// watch it for the others.
func TestDesiredStateIsInForceAlthoughAllWatchersAreTurnedAway(t *testing.T) {
	runLargeCluster(t, 40, func(g *WithT, c *virtualCluster) {
		for _, n := range c.nodes {
			n.cutOff.Store(n.running().watchesDesiredState())
		}
		time.Sleep(contactTime)
		c.setDesiredState(2)
		time.Sleep(applyTime)
		g.Expect(c.outdated(2)).To(BeEmpty())
	})
}
