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

// tcpProxy forwards TCP connections and closes them on request.
type tcpProxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	conns    []net.Conn
	wg       sync.WaitGroup
}

func newTCPProxy(t *testing.T, target string) *tcpProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	p := &tcpProxy{listener: l, target: target}
	p.wg.Go(func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			p.forward(in)
		}
	})
	return p
}

func (p *tcpProxy) forward(in net.Conn) {
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = in.Close()
		return
	}
	p.mu.Lock()
	p.conns = append(p.conns, in, out)
	p.mu.Unlock()
	for _, pair := range [][2]net.Conn{{in, out}, {out, in}} {
		p.wg.Go(func() {
			_, _ = io.Copy(pair[0], pair[1])
			_ = pair[0].Close()
			_ = pair[1].Close()
		})
	}
}

// closeConns closes all connections, even in the middle of a message.
func (p *tcpProxy) closeConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		_ = conn.Close()
	}
	p.conns = nil
}

func (p *tcpProxy) close() {
	_ = p.listener.Close()
	p.closeConns()
	p.wg.Wait()
}

// Guards against a NotRun verdict for a request that ran, and against a request that runs
// twice, while connections break and callers time out.
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
	proxy := newTCPProxy(t, server.Listener.Addr().String())
	from := peer.NewPool(peer.Config{MinBackoff: time.Millisecond, MaxBackoff: 2 * time.Millisecond, MaxQueuedFrames: 8}, peer.NewServer())

	firstCtx, cancelFirst := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancelFirst()
	g.Expect(from.Call(firstCtx, proxy.listener.Addr().String(), kindEcho, []byte("first"))).To(Equal([]byte("first")))
	stop := make(chan struct{})
	var disruptor, callers sync.WaitGroup
	disruptor.Go(func() {
		rng := rand.New(rand.NewPCG(seed, 0))
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rng.IntN(10_000)) * time.Microsecond):
				proxy.closeConns()
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
				body, err := from.Call(ctx, proxy.listener.Addr().String(), kindEcho, []byte(id))
				cancel()
				results[i][id] = verdict.Ran
				if err != nil {
					results[i][id] = verdict.From(err).Verdict
				} else if string(body) != id {
					t.Errorf("response %q to %q", body, id)
				}
			}
		})
	}
	callers.Wait()
	close(stop)
	disruptor.Wait()
	proxy.close()
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

// Guards against two daemons that keep closing each other's connection when both dial at
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
				if response, err := call(from, to, kindEcho, "x"); err != nil || response != "x" {
					t.Errorf("response %q, error %v", response, err)
				}
			})
		}
		group.Wait()
		g.Expect(a.Stats().Connections).To(BeNumerically("<=", 2))
	}
}
