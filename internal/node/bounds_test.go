package node

import (
	"bytes"
	"net/http"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a node whose memory grows with what a faulty backend server sends without end, until
// the deadline: it answers at the bound, says that the request may have run, runs it once, and serves others.
func TestResponsesWithoutEndAreAnsweredAtTheBound(t *testing.T) {
	g := NewWithT(t)
	c := newTestCluster(t, 1)
	c.waitSettled()
	n := c.nodes[0]
	const requests = 20
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range requests {
		n.sim.injectFaults(simEndless)
		started := time.Now()
		status, _, _, err := send(t.Context(), http.MethodPost, n.config.ClientAddress, "/book/endless", "endless", 7, "x")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status).To(Equal(http.StatusBadGateway))
		g.Expect(time.Since(started)).To(BeNumerically("<", time.Second), "half of the route's timeout")
	}
	runtime.ReadMemStats(&after)
	// What was allocated in total, of which little is in use at any time.
	g.Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", requests*(1<<20)))
	n.sim.mu.Lock()
	g.Expect(n.sim.runs["endless"]).To(Equal(requests), "each request ran once")
	n.sim.mu.Unlock()
	var metrics bytes.Buffer
	n.metrics.set.WritePrometheus(&metrics)
	g.Expect(metrics.String()).To(ContainSubstring(`basilway_node_responses_over_bound_total{bound="head"} 20`))
	status, _, _, err := send(t.Context(), http.MethodGet, n.config.ClientAddress, "/lookup/a", "a", 7, "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(http.StatusOK))
}
