package node

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/metastore/memory"
	"github.com/basilway/basilway/waitqueue"
)

// Guards against a load that nodes of earlier versions cannot read, against one of them that is not
// read, and against a change of the load where nothing is learned.
func TestPeerLoadIsCompatible(t *testing.T) {
	g := NewWithT(t)
	load := peerLoad{known: true, running: 2, waiting: 1, slots: 5, work: 30 * time.Millisecond, queued: time.Millisecond, incarnation: "a@1"}
	const plain = "2,1,5,30000,1000,a@1"
	decoded, _ := decodePeerLoad(plain)
	g.Expect(decoded).To(Equal(load))
	g.Expect(load.named().Speed).To(BeZero())
	load.speed = 0.25
	decoded, _ = decodePeerLoad(load.encode())
	g.Expect(decoded).To(Equal(load))
	var incarnation string
	var n int
	_, err := fmt.Sscanf(load.encode(), "%d,%d,%d,%d,%d,%s", &n, &n, &n, &n, &n, &incarnation)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(incarnation).To(Equal("a@1"), "as earlier versions read it")
	decoded, _ = decodePeerLoad(plain + " speed=x")
	g.Expect(decoded.speed).To(BeZero())
	g.Expect(namedLoad{Speed: -1}.load().known).To(BeFalse())
	g.Expect(namedLoad{Speed: 1 << 40}.load().speed).To(BeNumerically("==", maxPeerSpeed))
}

// Guards against a load header that is read wrongly, or read where a protocol has none.
func TestWorkPercent(t *testing.T) {
	g := NewWithT(t)
	h := Headers{Load: "X-Load"}
	for value, want := range map[string]float64{"2,0,5,50": 50, "2,0,5, 300": 300, "2,0,5": 0, "2,0,5,-1": 0, "2,0,5,x": 0, "": 0} {
		percent, ok := h.workPercent(http.Header{"X-Load": {value}})
		g.Expect(ok).To(Equal(want > 0), value)
		if ok {
			g.Expect(percent).To(Equal(want))
		}
	}
	_, ok := Headers{}.workPercent(http.Header{"": {"2,0,5,50"}})
	g.Expect(ok).To(BeFalse())
}

// Guards against a queue that holds requests of a slow server although they cannot meet their
// deadline, and against a speed that outlasts its incarnation.
func TestQueueUsesWhatTheMeterLearns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		q := newRequestQueue()
		m := &capacityMeter{queue: q, log: newTestLogger(t), speedChanged: func() {}}
		m.reset("a@1", 4)
		ctx, cancel := context.WithCancel(t.Context())
		go m.run(ctx)
		var work atomic.Int64
		work.Store(int64(60 * time.Millisecond))
		serve := func() bool {
			now := time.Now()
			slot, refused := q.acquire(ctx, waitqueue.Item{Route: "r", Target: now.Add(150 * time.Millisecond), Deadline: now.Add(200 * time.Millisecond)})
			if refused != nil {
				return false
			}
			end := m.start("r")
			time.Sleep(time.Duration(work.Load()))
			end(true)
			slot.done(waitqueue.Completed)
			return true
		}
		for range 4 {
			go func() {
				for ctx.Err() == nil {
					serve()
					time.Sleep(10 * time.Millisecond)
				}
			}()
		}
		time.Sleep(3 * time.Second)
		g.Expect(q.expectedWork("r")).To(BeNumerically("~", 60*time.Millisecond, 2*time.Millisecond))
		work.Store(int64(720 * time.Millisecond))
		time.Sleep(time.Second)
		g.Expect(q.expectedWork("r")).To(BeNumerically(">", 200*time.Millisecond))
		g.Expect(serve()).To(BeFalse(), "refused at once")
		work.Store(int64(60 * time.Millisecond))
		time.Sleep(3 * time.Second)
		g.Expect(q.expectedWork("r")).To(BeNumerically("<", 90*time.Millisecond), "recovered")
		work.Store(int64(720 * time.Millisecond))
		time.Sleep(time.Second)
		m.reset("a@2", 3)
		learned, _ := m.learned()
		g.Expect(learned).To(Equal(newLearnedCapacity(3, 1)))
		g.Expect(q.load().slots).To(Equal(3))
		cancel()
		time.Sleep(time.Second)
	})
}

// Guards against requests that the meter does not see, and against a speed that other nodes don't
// learn from responses.
func TestSlowServerIsKnownToOtherNodes(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	c := newTestCluster(t, 0)
	c.learnCapacity = true
	c.add("instance-0")
	c.add("instance-1")
	c.waitSettled()
	slow, other := c.nodes[0], c.nodes[1]
	setWork := func(d time.Duration) {
		slow.sim.mu.Lock()
		defer slow.sim.mu.Unlock()
		slow.sim.work = d
	}
	key := slow.ownedKey()
	setWork(20 * time.Millisecond)
	for range 10 {
		burst(other, key, 3)
	}
	g.Expect(slow.Node.backend.capacity.usual()).To(HaveKeyWithValue("book", BeNumerically(">=", 20*time.Millisecond)))
	setWork(time.Second)
	speed := func() float64 {
		learned, _, _ := other.learnedCapacityOf(other.views.current().Members["instance-0"], time.Now())
		return learned.speed()
	}
	g.Expect(speed()).To(BeNumerically(">", 0.6))
	g.Eventually(func() float64 {
		burst(other, key, 3)
		return speed()
	}, 10*time.Second).Should(BeNumerically("<", 0.4))
	limit, _, _ := other.learnedCapacityOf(other.views.current().Members["instance-0"], time.Now())
	g.Expect(limit.Limit).To(BeNumerically("==", slow.sim.slots))
}

// learningCluster is a virtual cluster whose backend servers run simulated requests.
type learningCluster struct {
	*virtualCluster
	// factors are how many times as long requests take, by instance.
	factors map[string]*atomic.Int64
	running map[string]*atomic.Int64
}

const (
	learningNodes = 8
	learningKeys  = 240
	learningWork  = 60 * time.Millisecond
)

func newLearningCluster(t *testing.T) *learningCluster {
	c := &learningCluster{newVirtualCluster(t, 1, 0, memory.Rates{}), map[string]*atomic.Int64{}, map[string]*atomic.Int64{}}
	for i := range learningNodes {
		n := c.add(fmt.Sprint("instance-", i), fmt.Sprint("peer-", i))
		n.stop()
		n.config.LearnCapacity = true
		n.start()
		c.factors[n.config.Instance], c.running[n.config.Instance] = &atomic.Int64{}, &atomic.Int64{}
		c.factors[n.config.Instance].Store(1)
	}
	return c
}

// load sends requests to the owners of random keys until ctx ends. They keep 60 % of the slots busy.
func (c *learningCluster) load(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(3125 * time.Microsecond)
		key := uint16(c.rng.intN(learningKeys) * 273)
		entry := c.nodes[c.rng.intN(len(c.nodes))].running()
		owner := entry.views.current().Keys["booking"].Find(key).Owner.Instance
		entry.demand.add(ticket{service: "booking", sharded: true, key: key}, learningWork)
		for _, n := range c.nodes {
			if n.config.Instance != owner || c.running[owner].Load() >= 4 {
				continue
			}
			c.running[owner].Add(1)
			done := n.running().backend.capacity.start("book")
			c.pending.Go(func() {
				time.Sleep(time.Duration(c.factors[owner].Load()) * c.rng.between(learningWork/2, 3*learningWork/2))
				c.running[owner].Add(-1)
				done(true)
			})
		}
	}
}

// plannedKeys returns how many of the keys with load the planner's table gives to n once all moves
// are completed.
func (c *learningCluster) plannedKeys(n *virtualNode) int {
	out := 0
	for i := range learningKeys {
		r := c.planner().running().views.current().Keys["booking"].Find(uint16(i * 273))
		if r.Moving() && r.Next.Instance == n.config.Instance || !r.Moving() && r.Owner.Instance == n.config.Instance {
			out++
		}
	}
	return out
}

// Guards against keys that stay on a server that turned slow, that don't return, and that move for a
// spell of 400 ms. The load is that of a server whose work takes 5 and then 12 times as long for 7 s.
func TestKeysFollowASlowServer(t *testing.T) {
	for _, factor := range []int64{5, 12} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			c := newLearningCluster(t)
			defer c.stop()
			_, ok := c.waitServed(time.Minute)
			g.Expect(ok).To(BeTrue())
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			c.pending.Go(func() { c.load(ctx) })
			time.Sleep(15 * time.Second)
			slow := c.nodes[0]
			if slow == c.planner() {
				slow = c.nodes[1]
			}
			meter, work := slow.running().backend.capacity, c.factors[slow.config.Instance]
			for range 5 {
				work.Store(3)
				time.Sleep(400 * time.Millisecond)
				work.Store(1)
				time.Sleep(1600 * time.Millisecond)
			}
			g.Expect(meter.speedChanges()).To(BeZero())
			g.Expect(meter.usual()["book"]).To(BeNumerically("~", learningWork, learningWork/10), "the speed compared with others")
			before := c.plannedKeys(slow)
			work.Store(factor)
			from := time.Now()
			g.Eventually(func() int { return c.plannedKeys(slow) }).WithTimeout(3 * time.Second).WithPolling(10 * time.Millisecond).
				Should(BeNumerically("<=", before/2))
			left := time.Since(from)
			time.Sleep(7*time.Second - left)
			least := c.plannedKeys(slow)
			work.Store(1)
			from = time.Now()
			g.Eventually(func() float64 { learned, _ := meter.learned(); return learned.speed() }).WithTimeout(3 * time.Second).
				WithPolling(10 * time.Millisecond).Should(BeNumerically(">", 0.8))
			noticed := time.Since(from)
			g.Eventually(func() int { return c.plannedKeys(slow) }).WithTimeout(15 * time.Second).WithPolling(10 * time.Millisecond).
				Should(BeNumerically(">=", before/2))
			t.Logf("%d times slower: %d keys with load before, half planned away after %v, %d left; recovery known after %v, half back after %v",
				factor, before, left, least, noticed, time.Since(from))
			g.Expect(left).To(BeNumerically("<=", 1500*time.Millisecond))
			g.Expect(least).To(BeNumerically(">", 0))
			g.Expect(noticed).To(BeNumerically("<=", 2*time.Second))
			g.Expect(c.holds.found()).To(BeEmpty())
		})
	}
}
