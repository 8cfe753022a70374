package node

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// stopResult is what the caller of a request got.
type stopResult struct {
	status int
	body   string
	err    error
}

// startRequest sends a request and returns a function that waits for its result.
func startRequest(ctx context.Context, address, path, id string, key int) func() stopResult {
	var r stopResult
	var done sync.WaitGroup
	done.Go(func() { r.status, r.body, _, r.err = send(ctx, http.MethodPost, address, path, id, key, "") })
	return func() stopResult {
		done.Wait()
		return r
	}
}

// Guards against requests that a stopping node takes although it ends before them, so that they are cut without an
// answer, among them some that may not be repeated (LOST). They come from a client and from another node.
func TestStoppingNodeTakesOnlyRequestsThatEndBeforeIt(t *testing.T) {
	g := NewWithT(t)
	c := newTestCluster(t, 2)
	c.waitSettled()
	n := c.nodes[0]
	n.cancel()
	g.Eventually(n.done, 10*time.Second).Should(Receive(BeNil()))
	n.config.Bounds.StopTimeout = stopReserve + 1500*time.Millisecond
	n.start()
	g.Eventually(func() bool { return n.views.current().Listed && n.views.current().Routes != nil }, 10*time.Second).Should(BeTrue())
	c.waitSettled()
	key := n.keyOf(g)
	setWork := func(d time.Duration) {
		n.sim.mu.Lock()
		defer n.sim.mu.Unlock()
		n.sim.work = d
	}
	setWork(1800 * time.Millisecond)
	running := startRequest(t.Context(), n.config.ClientAddress, "/book/x", "running", key)
	g.Eventually(func() int { return n.sim.ran("running") }, time.Second).Should(Equal(1))
	n.cancel()
	g.Eventually(n.stopping.Load, time.Second).Should(BeTrue())
	time.Sleep(500 * time.Millisecond)
	late := startRequest(t.Context(), n.config.ClientAddress, "/book/x", "late", key)
	forwarded := startRequest(t.Context(), c.nodes[1].config.ClientAddress, "/book/x", "forwarded", key)
	for id, result := range map[string]stopResult{"late": late(), "forwarded": forwarded()} {
		g.Expect(result.err).NotTo(HaveOccurred(), id)
		g.Expect(result.status).To(Equal(http.StatusServiceUnavailable), id)
		g.Expect(n.sim.ran(id)).To(BeZero(), id)
	}
	result := running()
	g.Expect(result.err).NotTo(HaveOccurred(), "it may have run, and its caller is told")
	g.Expect(result.status).To(Equal(http.StatusBadGateway))
	g.Expect(result.body).To(ContainSubstring("may_have_run"))
	g.Eventually(n.done, 10*time.Second).Should(Receive(BeNil()))
	n.done <- nil // for the cleanup, which waits for it, too
}
