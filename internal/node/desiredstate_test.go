package node

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"go.uber.org/zap"

	"github.com/basilway/basilway/httproute"
	"github.com/basilway/basilway/membership"
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
			t.Parallel()
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
			t.Parallel()
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

// Guards against a node that restarts while the store shows an older copy, and that handles requests
// by an older desired state than the others until the operator has written the lost one again.
func TestRestartedNodeGetsTheDesiredStateThatTheStoreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newVirtualCluster(t, 1, 6, memory.Rates{})
		defer c.stop()
		_, ok := c.waitServed(time.Minute)
		g.Expect(ok).To(BeTrue())
		before := time.Now()
		time.Sleep(time.Second)
		c.setDesiredState(2)
		time.Sleep(time.Second)
		g.Expect(c.outdated(2)).To(BeEmpty())
		c.store.Rewind(before, func(string) bool { return false })
		time.Sleep(time.Second)
		c.nodes[0].stop()
		c.nodes[0].start()
		time.Sleep(contactTime + applyTime)
		g.Expect(c.outdated(2)).To(BeEmpty())
		c.setDesiredState(2)
		c.setDesiredState(3)
		time.Sleep(applyTime)
		g.Expect(c.outdated(3)).To(BeEmpty())
	})
}

// desiredRow returns the row of a desired state.
func desiredRow(version, rowVersion uint64) metastore.Row {
	return metastore.Row{Key: simProtocol{}.DesiredStateRow(), Value: fmt.Appendf(nil, `{"Version":%d}`, version), Version: rowVersion}
}

// Guards against a node that gives other nodes a desired state that cannot be used, or an older one
// than it has itself, because that is in the newest row of the store.
func TestNodePassesOnTheDesiredStateInForce(t *testing.T) {
	invalid := desiredRow(0, 30)
	invalid.Value = []byte("{")
	deleted := desiredRow(0, 30)
	deleted.Deleted = true
	for name, row := range map[string]metastore.Row{
		"invalid": invalid, "deleted": deleted, "older": desiredRow(4, 30), "older, of a later generation": desiredRow(4, metastore.VersionOf(1, 3)),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			from, to := newViewStore(simProtocol{}, zap.NewNop()), newViewStore(simProtocol{}, zap.NewNop())
			from.apply(desiredRow(5, 20))
			from.apply(row)
			to.apply(row)
			to.applyFromPeer(membership.FromGossip, from.rowsOf([]string{row.Key})...)
			version, kept := to.desiredState()
			g.Expect(version).To(BeEquivalentTo(5))
			g.Expect(kept.Version).To(Equal(row.Version), "the newest version of the row")

			from.apply(desiredRow(6, row.Version+1))
			to.applyFromPeer(membership.FromGossip, from.rowsOf([]string{row.Key})...)
			version, _ = to.desiredState()
			g.Expect(version).To(BeEquivalentTo(6))
		})
	}
}

// Guards against nodes that get no offer of a new desired state while many are turned away.
func TestEachNodeIsOfferedADesiredStateByOthers(t *testing.T) {
	g := NewWithT(t)
	const size = 62
	offers := map[string]int{}
	for self := range size {
		targets := map[string]bool{}
		for round := range offerDelays {
			var peers []reachablePeer
			for n := range size {
				if n != self {
					peers = append(peers, reachablePeer{instance: fmt.Sprint(n), address: fmt.Sprint(n)})
				}
			}
			for _, address := range offerTargets(peers, fmt.Sprint(self), 7, round) {
				targets[address] = true
				offers[address]++
			}
		}
		g.Expect(targets).To(HaveLen(len(offerDelays) * offersPerRound))
	}
	for n := range size {
		g.Expect(offers[fmt.Sprint(n)]).To(Equal(len(offerDelays) * offersPerRound))
	}
}

// Guards against rows that nodes of an earlier release don't get, because these don't know the
// comparison of desired states.
func TestRowsAreExchangedWithNodesThatCannotCompareDesiredStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newVirtualCluster(t, 1, 2, memory.Rates{})
		defer c.stop()
		_, ok := c.waitServed(time.Minute)
		g.Expect(ok).To(BeTrue())
		synctest.Wait()
		n, other := c.nodes[0].running(), c.nodes[1].running()
		exchange := n.exchange
		n.exchange = func(ctx context.Context, address, path string, body []byte) ([]byte, error) {
			if path == desiredStatePath {
				return nil, errLost
			}
			return exchange(ctx, address, path, body)
		}
		other.views.applyFromPeer(membership.FromGossip, desiredRow(9, 1000))
		key := strikePrefix + "x"
		n.views.mu.Lock()
		n.views.rows[key] = metastore.Row{Key: key, Version: 7, Deleted: true}
		n.views.mu.Unlock()
		g.Expect(n.gossip.syncWith(t.Context(), c.nodes[1].config.PeerAddress)).To(Succeed())
		g.Expect(other.views.rowsOf([]string{key})).To(HaveLen(1))
	})
}

// slowProtocol decodes desired states when it is told to.
type slowProtocol struct {
	simProtocol
	decoding, proceed chan struct{}
}

func (p slowProtocol) DesiredState(data []byte) (httproute.Snapshot, error) {
	p.decoding <- struct{}{}
	<-p.proceed
	return p.simProtocol.DesiredState(data)
}

// Guards against requests that wait while a large desired state is decoded.
func TestViewCanBeReadWhileADesiredStateIsDecoded(t *testing.T) {
	g := NewWithT(t)
	p := slowProtocol{decoding: make(chan struct{}), proceed: make(chan struct{})}
	s := newViewStore(p, zap.NewNop())
	var applied sync.WaitGroup
	applied.Go(func() { s.apply(desiredRow(5, 20)) })
	<-p.decoding
	read := make(chan struct{})
	go func() {
		s.current()
		s.applyFromPeer(membership.FromGossip, metastore.Row{Key: strikePrefix + "x", Version: 7, Deleted: true})
		close(read)
	}()
	g.Eventually(read).WithTimeout(10 * time.Second).Should(BeClosed())
	applied.Go(func() { s.applyFromPeer(membership.FromRelay, desiredRow(5, 20)) }) // not decoded again
	close(p.proceed)
	applied.Wait()
	version, _ := s.desiredState()
	g.Expect(version).To(BeEquivalentTo(5))
	g.Expect(s.rowsOf([]string{strikePrefix + "x"})).To(HaveLen(1))
}
