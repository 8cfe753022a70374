package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/metastore"
	"github.com/basilway/basilway/metastore/memory"
)

const (
	// contactTime is the users' contact_ms: how long after a disruption a node must have
	// recovered from it.
	contactTime = 3 * time.Second
	// applyTime is the users' config_apply_ms: how long after its confirmation a desired state
	// must be in force.
	applyTime = 2 * time.Second
)

// setDesiredState lets the operator write a version of the desired state.
func (c *virtualCluster) setDesiredState(version uint64) {
	c.t.Helper()
	data := fmt.Appendf(nil, `{"Version":%d,"Services":[{"Name":"booking","Sharded":true,"HealthPath":"/health"}]}`, version)
	if err := c.store.Commit(c.t.Context(), metastore.Txn{Writes: []metastore.Write{{Key: simProtocol{}.DesiredStateRow(), Value: data}}}); err != nil {
		c.t.Fatal(err)
	}
}

// silenceStore lets all calls to the store that are under way stay without an answer, while new
// ones work.
func (c *virtualCluster) silenceStore() {
	for _, n := range c.nodes {
		n.silences.Add(1)
	}
}

// outdated returns the nodes that don't have a version of the desired state or a later one.
func (c *virtualCluster) outdated(version uint64) (out []string) {
	for _, n := range c.nodes {
		node := n.running()
		if node == nil {
			continue
		}
		if routes := node.views.current().Routes; routes == nil || routes.Version < version {
			out = append(out, n.config.Instance)
		}
	}
	return out
}

// Guards against a desired state that is not in force once the nodes have recovered, because
// the store's answers to all open watches were lost.
func TestDesiredStateIsInForceAfterOpenWatchesWentSilent(t *testing.T) {
	for _, size := range []int{3, 12, 62} {
		t.Run(fmt.Sprint(size, "_nodes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				c := newVirtualCluster(t, 1, size, memory.Rates{Reads: 2000, Writes: 400})
				defer c.stop()
				_, ok := c.waitServed(time.Minute)
				g.Expect(ok).To(BeTrue())
				version := uint64(1)
				for range 8 {
					// All watches start anew with a change.
					version++
					c.setDesiredState(version)
					time.Sleep(c.rng.between(0, 5*time.Second))
					c.silenceStore()
					version++
					c.setDesiredState(version)
					time.Sleep(contactTime)
					g.Expect(c.outdated(version)).To(BeEmpty(), "%v after the watches went silent", contactTime)
				}
			})
		})
	}
}

// Guards against nodes that the store turns away and that have a desired state too late, because
// only a comparison with a random node brought it.
func TestDesiredStateReachesNodesThatTheStoreTurnsAway(t *testing.T) {
	for _, size := range []int{4, 12, 62} {
		t.Run(fmt.Sprint(size, "_nodes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				c := newVirtualCluster(t, 1, size, memory.Rates{Reads: 2000, Writes: 400})
				defer c.stop()
				_, ok := c.waitServed(time.Minute)
				g.Expect(ok).To(BeTrue())
				for round := range 12 {
					for i, n := range c.nodes {
						n.cutOff.Store((i+round)%2 == 0)
					}
					time.Sleep(c.rng.between(0, 3*time.Second))
					version := uint64(2 + round)
					c.setDesiredState(version)
					time.Sleep(applyTime)
					g.Expect(c.outdated(version)).To(BeEmpty())
				}
			})
		})
	}
}
