package peer_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/internal/peer"
	"github.com/basilway/basilway/verdict"
)

// cutter is a TCP relay that cuts its connections on request.
type cutter struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	open     []net.Conn
	group    sync.WaitGroup
}

func newCutter(t *testing.T, target string) *cutter {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	c := &cutter{listener: l, target: target}
	c.group.Go(func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			c.relay(in)
		}
	})
	return c
}

func (c *cutter) relay(in net.Conn) {
	out, err := net.Dial("tcp", c.target)
	if err != nil {
		_ = in.Close()
		return
	}
	c.mu.Lock()
	c.open = append(c.open, in, out)
	c.mu.Unlock()
	for _, pair := range [][2]net.Conn{{in, out}, {out, in}} {
		c.group.Go(func() {
			_, _ = io.Copy(pair[0], pair[1])
			_ = pair[0].Close()
			_ = pair[1].Close()
		})
	}
}

// cut closes all connections, also in the middle of a message.
func (c *cutter) cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.open {
		_ = conn.Close()
	}
	c.open = nil
}

func (c *cutter) close() {
	_ = c.listener.Close()
	c.cut()
	c.group.Wait()
}

// Guards against NotRun for a request that ran, and against a request that runs twice,
// while connections break and callers give up.
func TestVerdictsUnderLostConnections(t *testing.T) {
	g := NewWithT(t)
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	var mu sync.Mutex
	runs := map[string]int{}
	s := peer.NewServer()
	s.Handle(kindEcho, func(_ context.Context, _ peer.Info, body []byte) ([]byte, error) {
		mu.Lock()
		defer mu.Unlock()
		runs[string(body)]++
		return body, nil
	})
	to := peer.NewPool(peer.Config{}, s)
	server := httptest.NewServer(http.Handler(to))
	relay := newCutter(t, server.Listener.Addr().String())
	from := peer.NewPool(peer.Config{MinBackoff: time.Millisecond, MaxBackoff: 2 * time.Millisecond, QueueFrames: 8}, peer.NewServer())

	warm, done := context.WithTimeout(context.Background(), 20*time.Second)
	defer done()
	g.Expect(from.Call(warm, relay.listener.Addr().String(), kindEcho, []byte("first"))).To(Equal([]byte("first")))
	stop := make(chan struct{})
	var cutting, callers sync.WaitGroup
	cutting.Go(func() {
		rng := rand.New(rand.NewPCG(seed, 0))
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rng.IntN(10_000)) * time.Microsecond):
				relay.cut()
			}
		}
	})
	results := make([]map[string]verdict.Verdict, 32)
	for i := range results {
		results[i] = map[string]verdict.Verdict{}
		callers.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i+1)))
			for n := range 300 {
				id := fmt.Sprintf("%d/%d", i, n)
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rng.IntN(3000))*time.Microsecond)
				body, err := from.Call(ctx, relay.listener.Addr().String(), kindEcho, []byte(id))
				cancel()
				results[i][id] = verdict.Ran
				if err != nil {
					results[i][id] = verdict.From(err).Verdict
				} else if string(body) != id {
					t.Errorf("answer %q to %q", body, id)
				}
			}
		})
	}
	callers.Wait()
	close(stop)
	cutting.Wait()
	relay.close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_ = from.Close(ctx)
	_ = to.Close(ctx)
	server.Close()

	counts := map[verdict.Verdict]int{}
	for _, result := range results {
		for id, v := range result {
			counts[v]++
			if n := runs[id]; n > 1 || v == verdict.NotRun && n != 0 || v == verdict.Ran && n != 1 {
				t.Errorf("request %s ran %d times with verdict %s", id, n, v)
			}
		}
	}
	g.Expect(runs["first"]).To(Equal(1))
	t.Logf("verdicts %v", counts)
}

// Guards against two daemons that keep losing each other's connection when both dial at
// the same time.
func TestBothSidesDialAtOnce(t *testing.T) {
	for range 20 {
		g := NewWithT(t)
		a, b := newNode(t, peer.Config{}), newNode(t, peer.Config{})
		var group sync.WaitGroup
		for i := range 20 {
			from, to := a, b
			if i%2 == 0 {
				from, to = b, a
			}
			group.Go(func() {
				if answer, err := call(from, to, kindEcho, "x"); err != nil || answer != "x" {
					t.Errorf("answer %q, error %v", answer, err)
				}
			})
		}
		group.Wait()
		g.Expect(a.Stats().Connections).To(BeNumerically("<=", 2))
	}
}
