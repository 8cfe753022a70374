package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/metastore/memory"
)

// addSized starts a node with a processor share.
func (c *virtualCluster) addSized(i int, cores float64) {
	n := c.add(fmt.Sprint("instance-", i), fmt.Sprint("peer-", i))
	n.stop()
	n.config.Cores = cores
	n.start()
}

// Guards against a planner on a small machine, which has no time left for requests when hundreds of
// nodes report to it: the role goes to a large machine soon after the start, and after a loss of the one
// that had it, without two holders of a key.
func TestLargeInstancesPlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newVirtualCluster(t, 1, 0, memory.Rates{})
		defer c.stop()
		cores := func(i int) float64 {
			if i%8 == 7 {
				return 0.8
			}
			return 0.16
		}
		for i := range 24 {
			c.addSized(i, cores(i))
		}
		_, ok := c.waitServed(time.Minute)
		g.Expect(ok).To(BeTrue())
		large := func() bool { p := c.planner(); return p != nil && p.config.Cores == 0.8 }
		g.Eventually(large).WithTimeout(8 * time.Second).WithPolling(50 * time.Millisecond).Should(BeTrue())
		lost := c.planner()
		lost.stop()
		g.Eventually(func() bool { return large() && c.planner() != lost }).WithTimeout(15 * time.Second).
			WithPolling(50 * time.Millisecond).Should(BeTrue())
		lost.start()
		time.Sleep(5 * time.Second)
		g.Expect(large()).To(BeTrue())
		g.Expect(c.holds.found()).To(BeEmpty())
	})
}

// Guards against a cluster that never has a planner because its large instances cannot reach the store.
func TestSmallInstancesPlanIfLargeOnesCannot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newVirtualCluster(t, 1, 0, memory.Rates{})
		defer c.stop()
		for i := range 6 {
			c.addSized(i, []float64{0.16, 0.16, 0.16, 0.16, 0.8, 0.8}[i])
		}
		_, ok := c.waitServed(time.Minute)
		g.Expect(ok).To(BeTrue())
		for _, n := range c.nodes[4:] {
			n.stop()
		}
		g.Eventually(func() bool { p := c.planner(); return p != nil && p.config.Cores == 0.16 }).WithTimeout(15 * time.Second).
			WithPolling(50 * time.Millisecond).Should(BeTrue())
	})
}
