package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/verdict"
)

// refusal sends a request in the background and calls check with its response if that is a
// refusal.
func refusal(t *testing.T, n *testNode, id string, running *sync.WaitGroup, check func(http.Header, string)) {
	running.Go(func() {
		status, body, header, err := send(t.Context(), "POST", n.config.ClientAddress, "/book/x", id, 7, "")
		if err == nil && status == http.StatusServiceUnavailable {
			check(header, body)
		}
	})
}

// Load pattern: many requests at once for a backend server with few slots. Guards against a
// refusal that does not say when to come back.
func TestRefusalsSayWhenToComeBack(t *testing.T) {
	g := NewWithT(t)
	n := single(t)
	n.sim.mu.Lock()
	n.sim.work = 400 * time.Millisecond
	n.sim.mu.Unlock()
	var mu sync.Mutex
	var after []float64
	for round := range 2 { // the first round teaches the queue how long requests take
		var running sync.WaitGroup
		for i := range 60 {
			refusal(t, n, fmt.Sprintf("r%d-%d", round, i), &running, func(h http.Header, body string) {
				seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
				mu.Lock()
				defer mu.Unlock()
				g.Expect(err).NotTo(HaveOccurred(), body)
				after = append(after, seconds)
			})
		}
		running.Wait()
	}
	g.Expect(len(after)).To(BeNumerically(">", 20))
	for _, seconds := range after {
		g.Expect(seconds).To(BeNumerically(">", 0))
	}
}

// Guards against refusals without a time on the other paths: a server that leaves or is down,
// a server that declines, a node without a desired state.
func TestEveryKindOfRefusalSaysWhenToComeBack(t *testing.T) {
	g := NewWithT(t)
	n := single(t)
	seen := map[string]string{}
	refused := func(name string) {
		var running sync.WaitGroup
		refusal(t, n, name, &running, func(h http.Header, body string) { seen[name] = h.Get("Retry-After") })
		running.Wait()
		g.Expect(seen[name]).NotTo(BeEmpty(), name)
	}
	n.sim.injectFaults(simDecline, simDecline, simDecline)
	refused("declined")
	n.sim.injectFaults()
	n.stopHeartbeats()
	n.withBackend(func(b *backend) { b.leaveAcked = boottimeNow().Add(-n.config.Bounds.DrainTimeout) })
	refused("leaving")
	n.withBackend(func(b *backend) { b.leaveAcked, b.state = time.Time{}, BackendDown })
	refused("down")

	recorder := httptest.NewRecorder()
	n.reject(recorder, "id", verdict.New(verdict.NotRun, verdict.ReasonQuarantined, "no time is known"))
	g.Expect(recorder.Header().Get("Retry-After")).To(Equal("0.400"))
}

// Guards against fractions for clients that know RFC 9110 only, which would read no time.
func TestRetryAfterInWholeSeconds(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Headers{}.formatRetryAfter(30 * time.Millisecond)).To(Equal("1"))
	g.Expect(Headers{}.formatRetryAfter(2100 * time.Millisecond)).To(Equal("3"))
	g.Expect(Headers{FractionalRetryAfter: true}.formatRetryAfter(30 * time.Millisecond)).To(Equal("0.030"))
}
