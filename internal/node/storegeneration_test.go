package node

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/basilway/basilway/grant"
	"github.com/basilway/basilway/keyrange"
	"github.com/basilway/basilway/metastore"
	"github.com/basilway/basilway/metastore/memory"
)

// goBack makes the store unavailable for away and then come back as it was at from.
func (c *testCluster) goBack(from time.Time, away time.Duration) {
	c.store.SetFaults(memory.Faults{Down: true})
	time.Sleep(away)
	c.store.Rewind(from, func(key string) bool { return key == simProtocol{}.DesiredStateRow() })
	c.store.SetFaults(memory.Faults{})
}

// Guards against live owners that lose their keys, and against keys with two holders, when the
// store comes back from a copy of before the keys were assigned.
func TestOwnersServeWhileTheStoreGoesBack(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	before := time.Now()
	size := 3
	if n, err := strconv.Atoi(os.Getenv("ROLLBACK_NODES")); err == nil {
		size = n // by hand, to measure larger clusters
	}
	c := newTestCluster(t, size)
	c.waitSettled()
	l := c.startLoad(c.nodes...)
	time.Sleep(200 * time.Millisecond)
	c.goBack(before, 500*time.Millisecond)
	returned, calls := time.Now(), c.store.Counts()
	recorded := func() bool {
		generation := c.store.Generation()
		space, ok := c.nodes[0].views.current().Keys["booking"]
		for key := 0; ok && key < 65536; key += holdStep {
			ok = space.SettledIn(generation, uint16(key)) && c.holders(uint16(key)) == 1
		}
		return ok
	}
	g.Eventually(recorded, 20*time.Second, 5*time.Millisecond).Should(BeTrue())
	done := c.store.Counts()
	t.Logf("recorded again after %v, with %d reads, %d writes and %d conflicts", time.Since(returned), done.Reads-calls.Reads, done.Writes-calls.Writes, done.Conflicts-calls.Conflicts)
	time.Sleep(300 * time.Millisecond)
	l.stop()
	g.Expect(l.unexpected()).To(BeEmpty())
	g.Expect(l.refused.Load()).To(BeZero(), "owners serve on")
	g.Expect(c.holds.found()).To(BeEmpty())
	for _, n := range c.nodes {
		g.Expect(n.sim.maxRuns()).To(BeNumerically("<=", 1))
	}
	// Leases go on.
	g.Expect(boottimeNow()).To(BeTemporally("<", c.nodes[1].lease.validUntil()))
}

// Guards against two holders and repeated tokens when the store goes back at any point of
// handovers, renewals, plans and leaves, more than once, and while nodes restart.
func TestKeysHaveOneHolderWheneverTheStoreGoesBack(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			rng := rand.New(rand.NewPCG(seed, 1))
			c := newTestCluster(t, 4)
			c.waitSettled()
			l := c.startLoad(c.nodes...)
			leaving := c.nodes[rng.IntN(4)]
			for round := range 4 {
				switch round {
				case 0:
					c.nodes[rng.IntN(4)].sim.nameLimit("3")
				case 1:
					leaving.sim.mu.Lock()
					leaving.sim.state = grant.Draining
					leaving.sim.mu.Unlock()
				case 2:
					n := c.nodes[rng.IntN(4)]
					n.cancel()
					g.Eventually(n.done, 10*time.Second).Should(Receive(BeNil()))
					n.start()
				}
				time.Sleep(time.Duration(rng.IntN(900)) * time.Millisecond)
				c.goBack(time.Now().Add(-time.Duration(100+rng.IntN(4000))*time.Millisecond), time.Duration(rng.IntN(400))*time.Millisecond)
			}
			time.Sleep(time.Second)
			l.stop()
			g.Expect(c.holds.found()).To(BeEmpty())
			for _, n := range c.nodes {
				g.Expect(n.sim.maxRuns()).To(BeNumerically("<=", 1))
			}
			g.Eventually(func() int {
				unserved := 0
				for key := 0; key < 65536; key += holdStep {
					if c.holders(uint16(key)) != 1 {
						unserved++
					}
				}
				return unserved
			}, 40*time.Second, 100*time.Millisecond).Should(BeZero())
			g.Expect(c.holds.found()).To(BeEmpty())
		})
	}
}

// Guards against a node without memory of the lost seconds that grants keys while a server of
// these seconds may hold them.
func TestRestartedNodeWaitsForLostLeases(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	c := newTestCluster(t, 2)
	c.waitSettled()
	n := c.nodes[0]
	n.cancel()
	g.Eventually(n.done, 10*time.Second).Should(Receive(BeNil()))
	c.goBack(time.Now().Add(-time.Second), 0)
	n.start()
	started := time.Now()
	g.Eventually(func() bool { return n.views.current().Listed }, 10*time.Second).Should(BeTrue())
	owned := func() int {
		n.sim.mu.Lock()
		defer n.sim.mu.Unlock()
		return len(n.sim.granted)
	}
	g.Eventually(owned, 10*time.Second).Should(BeZero(), "the hold of before")
	g.Eventually(owned, 30*time.Second, 10*time.Millisecond).ShouldNot(BeZero())
	g.Expect(time.Since(started)).To(BeNumerically(">=", leaseDuration))
	g.Expect(c.holds.found()).To(BeEmpty())
}

// keyRow returns the row of a bucket of the key table.
func keyRow(t *testing.T, table *keyrange.Table, version uint64) metastore.Row {
	t.Helper()
	data, err := table.Encode()
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return metastore.Row{Key: bucketKey("booking", 0), Value: data, Version: version}
}

// Guards against a view that goes back with the store, and against one that ignores what is
// written after that.
func TestViewKeepsWhatTheStoreLost(t *testing.T) {
	g := NewWithT(t)
	s := newViewStore(simProtocol{}, zap.NewNop())
	old := keyrange.New(keyrange.BucketSpan(0))
	a, b := keyrange.Owner{Instance: "a", Incarnation: "a@1"}, keyrange.Owner{Instance: "b", Incarnation: "b@1"}
	known, err := old.Assign(keyrange.BucketSpan(0), a)
	g.Expect(err).NotTo(HaveOccurred())
	owner := func() keyrange.Owner { return s.current().Keys["booking"].Find(0).Owner }
	s.apply(keyRow(t, old, 10), keyRow(t, known, 12))
	g.Expect(owner()).To(Equal(a))

	s.apply(keyRow(t, old, metastore.VersionOf(1, 10)))
	g.Expect(owner()).To(Equal(a), "the store has an older table")
	g.Expect(s.current().Keys["booking"].Versions[0]).To(Equal(metastore.VersionOf(1, 10)), "the next write is based on it")
	g.Expect(s.lostBuckets("booking")).To(Equal([]int{0}))

	// Another node, which knows less, writes first.
	other, err := old.InGeneration(1, 10).Assign(keyrange.Span{From: 100, To: 200}, b)
	g.Expect(err).NotTo(HaveOccurred())
	s.apply(keyRow(t, other, metastore.VersionOf(1, 11)))
	g.Expect(owner()).To(Equal(a))
	g.Expect(s.current().Keys["booking"].Find(150).Owner).To(Equal(b))
	g.Expect(s.lostBuckets("booking")).To(Equal([]int{0}))

	// What is written on the basis of all that replaces it.
	space := s.current().Keys["booking"]
	next := space.InGeneration(1, space.Contents).Table(0).Drop(a)
	s.apply(keyRow(t, next, metastore.VersionOf(1, 12)))
	g.Expect(owner()).To(Equal(keyrange.Owner{}))
	g.Expect(s.lostBuckets("booking")).To(BeEmpty())

	// A listing without the row says that the store lost it.
	s.replace(clusterTable, metastore.Listing{Version: metastore.VersionOf(2, 5)})
	g.Expect(s.current().Keys["booking"].Find(150).Owner).To(Equal(b))
	g.Expect(s.current().Keys["booking"].Versions[0]).To(BeZero())
}

// Guards against a desired state that goes back with the store.
func TestDesiredStateDoesNotGoBackWithTheStore(t *testing.T) {
	g := NewWithT(t)
	s := newViewStore(simProtocol{}, zap.NewNop())
	row := func(version int, at uint64) metastore.Row {
		return metastore.Row{Key: simProtocol{}.DesiredStateRow(), Value: []byte(fmt.Sprintf(`{"Version":%d}`, version)), Version: at}
	}
	s.apply(row(3, 10), row(5, 12))
	s.apply(row(3, metastore.VersionOf(1, 10)))
	g.Expect(s.current().Routes.Version).To(BeEquivalentTo(5))
	s.apply(row(6, metastore.VersionOf(1, 11)))
	g.Expect(s.current().Routes.Version).To(BeEquivalentTo(6))
}

// Guards against a renewal that extends the lease while the node's keys are not recorded, so
// that others may take them once the leases of the lost seconds have run out.
func TestLeaseIsExtendedOnlyOnceKeysAreRecorded(t *testing.T) {
	g := NewWithT(t)
	n := single(t)
	generation := n.cluster.store.Generation() + 1
	n.cluster.store.SetFaults(memory.Faults{Down: true}) // the running node can record nothing
	n.views.observeGeneration(metastore.VersionOf(generation, 1))
	g.Expect(n.restored(metastore.VersionOf(generation, 2))).To(BeFalse())
	n.generation.stopVouching()
	g.Expect(n.restored(metastore.VersionOf(generation, 2))).To(BeTrue(), "without a lease there is nothing to record")
}

// Guards against a lease that goes on although the node's keys are still unrecorded when others may
// take them, and against vouching for them after it has run out.
func TestLeaseEndsIfKeysStayUnrecorded(t *testing.T) {
	g := NewWithT(t)
	n := single(t)
	r := n.views.current().Keys["booking"].Find(7)
	version := metastore.VersionOf(n.cluster.store.Generation()+1, 1)
	n.cluster.store.SetFaults(memory.Faults{Down: true}) // the running node can record nothing
	n.views.observeGeneration(version)
	later := func() time.Time { return boottimeNow().Add(settleTime + time.Second) }
	n.generation.mu.Lock()
	n.generation.now = later
	n.generation.mu.Unlock()
	g.Expect(n.generation.settled()).To(BeTrue())
	g.Expect(n.restored(version)).To(BeFalse())
	g.Expect(n.generation.vouches("booking", r)).To(BeTrue())

	n.lease.mu.Lock()
	n.lease.until = boottimeNow()
	n.lease.mu.Unlock()
	g.Expect(n.restored(version)).To(BeTrue(), "there is nothing to record any more")
	g.Expect(n.generation.vouches("booking", r)).To(BeFalse())
}

// Guards against refusing to start: the settings say that the whole cluster starts for the
// first time, in whatever generation.
func TestFirstStartOfAClusterWaitsForNothing(t *testing.T) {
	g := NewWithT(t)
	for bootstrap, want := range map[bool]bool{true: true, false: false} {
		s := newStoreGeneration(bootstrap, boottimeNow)
		s.enter(4, &View{}, false)
		g.Expect(s.settled()).To(Equal(want))
		s.enter(5, &View{Listed: true}, true)
		g.Expect(s.settled()).To(BeFalse(), "the store went back since")
		s.now = func() time.Time { return boottimeNow().Add(settleTime + time.Second) }
		g.Expect(s.settled()).To(BeTrue())
	}
}

// Guards against metrics that don't show that the store went back.
func TestStoreGenerationIsShown(t *testing.T) {
	g := NewWithT(t)
	n := single(t)
	n.views.observeGeneration(metastore.VersionOf(7, 1))
	var out strings.Builder
	n.metrics.set.WritePrometheus(&out)
	g.Expect(out.String()).To(ContainSubstring("basilway_node_store_generation 7\n"))
	g.Expect(out.String()).To(ContainSubstring("basilway_node_store_rollbacks_total 1\n"))
}

// Guards against a node that vouches for keys only because it had a lease when the store went
// back again: it must have owned them certainly before.
func TestSecondRollbackGivesNoAuthority(t *testing.T) {
	g := NewWithT(t)
	own := keyrange.Owner{Instance: "a", Incarnation: "a@1"}
	space, err := keyrange.NewSpace().Assign(keyrange.Span{From: 0, To: keyrange.MaxKey}, own)
	g.Expect(err).NotTo(HaveOccurred())
	view := func(listed bool) *View {
		return &View{Listed: listed, Keys: map[string]KeySpace{"booking": {Space: space}}}
	}
	r := space.Find(0)
	restarted := newStoreGeneration(false, boottimeNow)
	restarted.enter(1, &View{}, false)
	restarted.enter(2, view(true), true)
	g.Expect(restarted.vouches("booking", r)).To(BeFalse(), "recorded in no generation that it has seen")
	lasting := newStoreGeneration(false, boottimeNow)
	lasting.enter(1, view(true), true)
	g.Expect(lasting.vouches("booking", r)).To(BeTrue())
	lasting.enter(2, view(true), true)
	g.Expect(lasting.vouches("booking", r)).To(BeTrue(), "two drills within seconds")
	lasting.enter(3, view(true), false)
	g.Expect(lasting.vouches("booking", r)).To(BeFalse(), "the lease had lapsed")
}

// Guards against keys that a node takes from its backend server, or gives to its next start,
// while a server of the lost seconds may hold them.
func TestUnrecordedKeysStayUntilLostLeasesHaveRunOut(t *testing.T) {
	g := NewWithT(t)
	own := keyrange.Owner{Instance: "a", Incarnation: "a@1"}
	space, err := keyrange.NewSpace().Assign(keyrange.Span{From: 0, To: keyrange.MaxKey}, own)
	g.Expect(err).NotTo(HaveOccurred())
	space = space.InGeneration(1, [keyrange.Buckets]uint64{})
	edit := func(m Member, settled, vouches bool) (*keyrange.Space, bool) {
		return editKeys(space, m, nil, keyAuthority{generation: 1, settled: settled, vouches: func(keyrange.Range) bool { return vouches }})
	}
	down, next := Member{Owner: own, State: BackendDown}, Member{Owner: keyrange.Owner{Instance: "a", Incarnation: "a@2"}}
	for _, m := range []Member{down, next, {Owner: own}} {
		_, changed := edit(m, false, false)
		g.Expect(changed).To(BeFalse())
	}
	for _, m := range []Member{down, next} {
		_, changed := edit(m, true, false)
		g.Expect(changed).To(BeTrue())
		_, changed = edit(m, false, true)
		g.Expect(changed).To(BeTrue())
	}
	for _, vouches := range []bool{true, false} {
		dropped, _ := edit(down, !vouches, vouches)
		g.Expect(dropped.SettledIn(1, 0)).To(BeTrue(), "free at once, because the owner is certain")
	}
	vouched, _ := edit(Member{Owner: own}, false, true)
	g.Expect(vouched.Find(0)).To(And(HaveField("Fence", space.Find(0).Fence), HaveField("Confirmed", true)))
	renewed, _ := edit(Member{Owner: own}, true, false)
	g.Expect(renewed.Find(0).Fence).To(BeNumerically(">", space.Find(0).Fence))
	g.Expect(renewed.Find(0).Confirmed).To(BeTrue())
}

// Guards against recording a range for an owner that vouched for another fencing token of it, or in
// another generation: the table may show an owner from before the lost seconds.
func TestPlannerRecordsOnlyWhatOwnersVouchFor(t *testing.T) {
	g := NewWithT(t)
	own := keyrange.Owner{Instance: "a", Incarnation: "a@1"}
	store := memory.New(memory.Rates{}, 1)
	store.SetGeneration(3)
	n := New(Config{Instance: "planner", Store: store, Protocol: simProtocol{}}, zap.NewNop())
	space, err := keyrange.NewSpace().Assign(keyrange.Span{From: 0, To: keyrange.MaxKey}, own)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n.writer.update(t.Context(), "booking", func(*keyrange.Space) (*keyrange.Space, metastore.Txn, error) {
		return space, metastore.Txn{}, nil
	})).To(Succeed())
	n.views.observeGeneration(metastore.VersionOf(4, 1))
	store.Rewind(time.Now(), func(string) bool { return false })
	listing, err := store.List(t.Context(), clusterTable)
	g.Expect(err).NotTo(HaveOccurred())
	n.views.replace(clusterTable, listing)
	fence := space.Find(7).Fence
	settledAfter := func(r report) bool {
		r.Instance = "a"
		n.planner.handleReport(r)
		n.planner.confirmVouched(t.Context())
		return n.views.current().Keys["booking"].SettledIn(4, 7)
	}
	vouched := vouchedRange{From: 0, To: keyrange.MaxKey, Fence: fence}
	part, other := vouched, vouched
	part.To, other.Fence = 100, fence+1
	g.Expect(settledAfter(report{Generation: 3, Vouched: []vouchedRange{vouched}})).To(BeFalse())
	g.Expect(settledAfter(report{Generation: 4, Vouched: []vouchedRange{other}})).To(BeFalse())
	g.Expect(settledAfter(report{Generation: 4, Vouched: []vouchedRange{part}})).To(BeFalse())
	g.Expect(settledAfter(report{Generation: 4, Vouched: []vouchedRange{vouched}})).To(BeTrue())
	g.Expect(n.views.current().Keys["booking"].Find(7)).To(And(HaveField("Owner", own), HaveField("Fence", fence)))
}
