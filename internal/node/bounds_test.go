package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
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

// Guards against a request that is never answered, and memory that is kept, because its backend server
// sends single bytes without end: the deadline bounds it, the connection is closed, and others are served.
func TestResponseInSingleBytesEndsAtTheDeadline(t *testing.T) {
	for name, fault := range map[string]simFault{"head": simDribbleHead, "body": simDribbleBody} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c := newTestCluster(t, 1) // not beside other tests, for the memory
			c.waitSettled()
			n := c.nodes[0]
			const requests = 3 // fewer than the backend server has slots
			n.sim.injectFaults(fault, fault, fault)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			type result struct {
				status int
				err    error
				took   time.Duration
			}
			results := make(chan result, requests)
			for i := range requests {
				go func() {
					started := time.Now()
					status, _, _, err := send(t.Context(), http.MethodPost, n.config.ClientAddress, "/book/dribble", fmt.Sprint("dribble", i), 7, "x")
					results <- result{status, err, time.Since(started)}
				}()
			}
			g.Eventually(func() int { return n.sim.ran("dribble0") + n.sim.ran("dribble1") + n.sim.ran("dribble2") }, 2*time.Second).Should(Equal(requests))
			status, _, _, err := send(t.Context(), http.MethodGet, n.config.ClientAddress, "/lookup/a", "a", 7, "")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(status).To(Equal(http.StatusOK), "a slot is free")
			for range requests {
				r := <-results
				g.Expect(r.err).NotTo(HaveOccurred())
				g.Expect(r.status).To(BeElementOf(http.StatusBadGateway, http.StatusGatewayTimeout), "the request ran")
				g.Expect(r.took).To(BeNumerically("<", 3*time.Second), "the deadline is 2 s")
			}
			runtime.ReadMemStats(&after)
			// The body's buffer has its stated length; little of what is allocated is in use.
			g.Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", requests*(4<<20)))
			g.Eventually(func() int {
				n.sim.mu.Lock()
				defer n.sim.mu.Unlock()
				return n.sim.endlessEnded
			}, 5*time.Second).Should(Equal(requests), "the connections to the backend server are closed")
			g.Expect(n.sim.maxRuns()).To(Equal(1))
		})
	}
}

// Guards against memory of the node that grows with clients that send requests and don't read the
// responses, and against other requests that wait for them. readahead closes these connections after
// clientWriteTimeout; see TestClientThatDoesNotReadIsDisconnected there.
func TestClientsThatDoNotReadHoldLittleMemory(t *testing.T) {
	g := NewWithT(t)
	c := newTestCluster(t, 1) // not beside other tests, for the memory
	c.waitSettled()
	n := c.nodes[0]
	const clients = 8
	n.sim.mu.Lock()
	n.sim.body, n.sim.slots = make([]byte, 512<<10), clients*16 // what the connections may run at a time
	n.sim.mu.Unlock()
	n.Node.backend.queue.setSlots(clients * 16)
	var before, during runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range clients {
		c, err := net.Dial("tcp", n.config.ClientAddress)
		g.Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		g.Expect(c.(*net.TCPConn).SetReadBuffer(4 << 10)).To(Succeed())
		go func() { // blocks once the node stops reading
			for k := 0; ; k++ {
				if _, err := fmt.Fprintf(c, "GET /lookup/x HTTP/1.1\r\nHost: shop.example\r\n%s: u%d-%d\r\n%s: 7\r\n%s: 2000\r\n\r\n", simID, i, k, simKey, simDeadline); err != nil {
					return
				}
			}
		}()
	}
	arrivals := func() int { return n.sim.arrivedSince(time.Time{}) }
	g.Eventually(func() bool { // until the clients' buffers are full
		had := arrivals()
		time.Sleep(500 * time.Millisecond)
		return arrivals() == had
	}, 40*time.Second, time.Millisecond).Should(BeTrue())
	g.Expect(arrivals()).To(BeNumerically(">", clients))
	runtime.GC()
	runtime.ReadMemStats(&during)
	held := int64(during.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("%d clients, %d requests ran, %d bytes held", clients, arrivals(), held)
	// Without a bound, each request that runs may hold its response, 64 MiB together and up to twice
	// that with the room of their buffers. The rest is for the buffers of connections on all sides.
	g.Expect(held).To(BeNumerically("<", maxReadAhead+maxBufferedBytes+clients*16*(160<<10)))
	n.sim.mu.Lock()
	n.sim.body = nil
	n.sim.mu.Unlock()
	for i := range 20 {
		started := time.Now()
		status, _, _, err := send(t.Context(), http.MethodGet, n.config.ClientAddress, "/lookup/a", fmt.Sprint("a", i), 7, "")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status).To(Equal(http.StatusOK))
		g.Expect(time.Since(started)).To(BeNumerically("<", time.Second))
	}
}

// Guards against a process that runs out of memory because a backend server sends bytes without end, in a head, in an interim
// head, in a body or after it, until its caller closes: what the node holds of them is bounded, the connections are closed
// once the clients have left, and others are served.
func TestBytesWithoutEndHoldLittleMemory(t *testing.T) {
	const clients, read = 16, 8 << 20 // bytes that a client reads before it leaves
	fill := strings.Repeat("x", 4<<10)
	c := newTestCluster(t, 1) // not beside other tests, for the memory
	c.waitSettled()
	n := c.nodes[0]
	n.sim.mu.Lock()
	n.sim.slots = clients
	n.sim.mu.Unlock()
	n.Node.backend.queue.setSlots(clients)
	for name, answer := range map[string]struct{ start, repeated string }{
		"no answer":        {"", fill},
		"zero bytes":       {"", strings.Repeat("\x00", 4<<10)},
		"status line":      {"HTTP/1.1 200 ", fill},
		"head":             {"HEAD", "X-Fill: " + fill + "\r\n"},
		"one line":         {"HEADX-Fill: ", fill},
		"interim heads":    {"", "HTTP/1.1 103 Early\r\nX-Fill: " + fill + "\r\n\r\n"},
		"body":             {"HEAD\r\n", fill},
		"chunks":           {"HEADTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + fill + "\r\n"},
		"small chunks":     {"HEADTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", 700)},
		"chunk extensions": {"HEADTransfer-Encoding: chunked\r\n\r\n", "1;" + fill + "\r\nx\r\n"},
		"trailers":         {"HEADTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Fill: " + fill + "\r\n"},
		"after the body":   {"HEADContent-Length: 4\r\n\r\nbody", fill},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var open atomic.Int64
			c.answerRaw(func(c net.Conn, head string) {
				open.Add(1)
				defer open.Add(-1)
				_, err := io.WriteString(c, strings.Replace(answer.start, "HEAD", head, 1))
				for err == nil {
					_, err = io.WriteString(c, answer.repeated)
				}
			})
			runtime.GC()
			var before, during runtime.MemStats
			runtime.ReadMemStats(&before)
			var done sync.WaitGroup
			for i := range clients {
				done.Go(func() { readSome(t.Context(), n.config.ClientAddress, fmt.Sprint("endless", i), read) })
			}
			ended := make(chan struct{})
			go func() {
				done.Wait()
				close(ended)
			}()
			held := int64(0)
			for running := true; running; {
				select {
				case <-ended:
					running = false
				case <-time.After(20 * time.Millisecond):
				}
				runtime.GC() // what is not in use any more does not count
				runtime.ReadMemStats(&during)
				held = max(held, int64(during.HeapAlloc)-int64(before.HeapAlloc))
			}
			t.Logf("%d bytes held at most", held)
			// The total counts what the buffers have room for; one that grows is there twice, the old and the new one.
			g.Expect(held).To(BeNumerically("<", 2*maxBufferedBytes))
			c.answerRaw(nil)
			status, _, _, err := send(t.Context(), http.MethodGet, n.config.ClientAddress, "/lookup/a", "a", 7, "")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(status).To(Equal(http.StatusOK))
			// Bytes that arrive on an unused connection are found by the next request.
			g.Eventually(open.Load, 5*time.Second).Should(BeZero(), "connections to the backend server")
		})
	}
}

// readSome sends a request, reads at most limit bytes of the answer and leaves.
func readSome(ctx context.Context, address, id string, limit int64) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/lookup/endless", nil)
	if err != nil {
		panic(err)
	}
	req.Host = "shop.example"
	req.Header = http.Header{simID: {id}, simKey: {"7"}, simDeadline: {"2000"}}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return // the node closed the connection
	}
	defer resp.Body.Close()
	// The answer may break off.
	_, _ = io.CopyN(io.Discard, resp.Body, limit)
}
