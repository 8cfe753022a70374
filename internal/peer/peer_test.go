package peer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/basilway/basilway/internal/peer"
	"github.com/basilway/basilway/verdict"
)

// Fails if goroutines are left when the tests end.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	kindEcho uint8 = iota + 1
	kindFail
	kindBlock
	kindPanic
	kindNote
)

// node is a pool with its HTTP server.
type node struct {
	*peer.Pool
	server  *httptest.Server
	address string
	blocked chan context.Context
	release chan struct{}
	notes   chan string
}

func newNode(t testing.TB, cfg peer.Config) *node {
	t.Helper()
	n := &node{blocked: make(chan context.Context, 100), release: make(chan struct{}), notes: make(chan string, 100)}
	s := peer.NewServer()
	s.Handle(kindEcho, func(_ context.Context, _ peer.Info, body []byte) ([]byte, error) { return body, nil })
	s.Handle(kindFail, func(context.Context, peer.Info, []byte) ([]byte, error) {
		err := verdict.New(verdict.NotRun, verdict.ReasonNotOwner, "moved").WithRetryAfter(30 * time.Millisecond)
		return nil, peer.WithDetail(err, map[int]string{1: "owner"})
	})
	s.Handle(kindBlock, func(ctx context.Context, _ peer.Info, body []byte) ([]byte, error) {
		n.blocked <- ctx
		<-n.release
		return body, nil
	})
	s.Handle(kindPanic, func(context.Context, peer.Info, []byte) ([]byte, error) { panic("handler") })
	s.Handle(kindNote, func(_ context.Context, remote peer.Info, body []byte) ([]byte, error) {
		n.notes <- remote.Identity + ":" + string(body)
		return nil, nil
	})
	mux := http.NewServeMux()
	n.server = httptest.NewUnstartedServer(mux)
	n.address = n.server.Listener.Addr().String()
	cfg.Address = n.address
	n.Pool = peer.NewPool(cfg, s)
	mux.Handle(peer.Path, n.Pool)
	n.server.Start()
	t.Cleanup(func() {
		n.unblock()
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = n.Close(ctx)
		n.server.Close()
	})
	return n
}

func (n *node) unblock() {
	select {
	case <-n.release:
	default:
		close(n.release)
	}
}

func call(n, to *node, kind uint8, body string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	response, err := n.Call(ctx, to.address, kind, []byte(body))
	return string(response), err
}

// Guards against responses that reach the wrong caller when they arrive out of order.
func TestResponsesMatchTheirCallers(t *testing.T) {
	g := NewWithT(t)
	a, b := newNode(t, peer.Config{}), newNode(t, peer.Config{})
	var group sync.WaitGroup
	for i := range 64 {
		group.Go(func() {
			body := strings.Repeat(string(rune('A'+i%26)), 1+i)
			for range 50 {
				from, to := a, b
				if i%2 == 0 {
					from, to = b, a
				}
				response, err := call(from, to, kindEcho, body)
				if err != nil || response != body {
					t.Errorf("response %q to %q, error %v", response, body, err)
				}
			}
		})
	}
	group.Wait()
	g.Expect(a.Stats().Connections).To(BeNumerically("<=", 2))
	sent := a.Stats().Kinds[kindEcho]
	g.Expect(sent.SentFrames).To(BeEquivalentTo(64 * 50))
	g.Expect(sent.SentBytes).To(Equal(b.Stats().Kinds[kindEcho].ReceivedBytes))
}

// Guards against a second connection being opened for calls in the other direction.
func TestConnectionWorksInBothDirections(t *testing.T) {
	g := NewWithT(t)
	a, b := newNode(t, peer.Config{Identity: "a/1"}), newNode(t, peer.Config{})
	g.Expect(call(a, b, kindEcho, "x")).To(Equal("x"))
	g.Expect(call(b, a, kindEcho, "y")).To(Equal("y"))
	g.Expect(b.Stats().Dials).To(BeZero())
	g.Expect(a.Notify(context.Background(), b.address, kindNote, []byte("n"))).To(Succeed())
	g.Eventually(b.notes, "10s").Should(Receive(Equal("a/1:n")))
}

// Guards against handler errors that lose their verdict, retry time or detail.
func TestHandlerErrorsCrossTheWire(t *testing.T) {
	g := NewWithT(t)
	a, b := newNode(t, peer.Config{}), newNode(t, peer.Config{})
	_, err := call(a, b, kindFail, "")
	v := verdict.From(err)
	g.Expect(v.Verdict).To(Equal(verdict.NotRun))
	g.Expect(v.Reason).To(Equal(verdict.ReasonNotOwner))
	g.Expect(v.RetryAfter).To(Equal(30 * time.Millisecond))
	var detail map[int]string
	g.Expect(peer.DecodeDetail(err, &detail)).To(BeTrue())
	g.Expect(detail[1]).To(Equal("owner"))
	_, err = call(a, b, kindPanic, "")
	g.Expect(verdict.From(err).Verdict).To(Equal(verdict.MayHaveRun))
	_, err = call(a, b, 200, "")
	g.Expect(verdict.From(err).Verdict).To(Equal(verdict.NotRun))
	g.Expect(call(a, b, kindEcho, "still alive")).To(Equal("still alive"))
}

// Guards against handlers that keep running after their caller has cancelled, and against
// a late response that is not counted as late.
func TestCancellationAndLateResponse(t *testing.T) {
	g := NewWithT(t)
	a, b := newNode(t, peer.Config{}), newNode(t, peer.Config{})
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	result := make(chan error, 1)
	go func() {
		_, err := a.Call(ctx, b.address, kindBlock, nil)
		result <- err
	}()
	var handler context.Context
	g.Eventually(b.blocked, "10s").Should(Receive(&handler))
	deadline, ok := handler.Deadline()
	g.Expect(ok).To(BeTrue())
	g.Expect(time.Until(deadline)).To(BeNumerically("<=", time.Hour))
	cancel()
	err := <-result
	g.Expect(verdict.From(err).Verdict).To(Equal(verdict.MayHaveRun))
	g.Expect(verdict.From(err).Reason).To(Equal(verdict.ReasonCancelled))
	g.Eventually(handler.Done(), "10s").Should(BeClosed())
	b.unblock()
	g.Eventually(func() uint64 { return a.Stats().LateResponses }, "10s").Should(BeEquivalentTo(1))
}

// Guards against a NotRun verdict for a request that was sent before its connection was
// lost.
func TestLostConnection(t *testing.T) {
	g := NewWithT(t)
	a, b := newNode(t, peer.Config{}), newNode(t, peer.Config{})
	result := make(chan error, 1)
	go func() {
		_, err := call(a, b, kindBlock, "")
		result <- err
	}()
	var handler context.Context
	g.Eventually(b.blocked, "10s").Should(Receive(&handler))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	b.unblock()
	g.Expect(a.Close(ctx)).To(MatchError(context.Canceled))
	g.Expect(verdict.From(<-result).Verdict).To(Equal(verdict.MayHaveRun))
	_, err := call(a, b, kindEcho, "")
	g.Expect(verdict.From(err).Verdict).To(Equal(verdict.NotRun))
	g.Expect(verdict.From(err).Reason).To(Equal(verdict.ReasonDraining))
}

// Guards against Close cutting off a request in flight.
func TestCloseWaitsForCalls(t *testing.T) {
	g := NewWithT(t)
	a, b := newNode(t, peer.Config{CheckInterval: time.Millisecond}), newNode(t, peer.Config{CheckInterval: time.Millisecond})
	type outcome struct {
		response string
		err      error
	}
	result, closed := make(chan outcome, 1), make(chan error, 1)
	go func() {
		response, err := call(a, b, kindBlock, "whole")
		result <- outcome{response, err}
	}()
	g.Eventually(b.blocked, "10s").Should(Receive())
	go func() { closed <- b.Close(context.Background()) }()
	g.Consistently(closed, "50ms").ShouldNot(Receive())
	b.unblock()
	g.Eventually(result, "10s").Should(Receive(Equal(outcome{response: "whole"})))
	g.Eventually(closed, "10s").Should(Receive(BeNil()))
}

// Guards against an unbounded number of calls in flight.
func TestBackpressure(t *testing.T) {
	g := NewWithT(t)
	a, b := newNode(t, peer.Config{MaxInFlight: 1}), newNode(t, peer.Config{})
	go func() { _, _ = call(a, b, kindBlock, "") }()
	g.Eventually(b.blocked, "10s").Should(Receive())
	_, err := call(a, b, kindEcho, "")
	g.Expect(verdict.From(err).Verdict).To(Equal(verdict.NotRun))
	g.Expect(verdict.From(err).Reason).To(Equal(verdict.ReasonOverloaded))
	g.Expect(a.Stats().Backpressure).To(BeEquivalentTo(1))

	c, d := newNode(t, peer.Config{}), newNode(t, peer.Config{MaxInbound: 1})
	go func() { _, _ = call(c, d, kindBlock, "") }()
	g.Eventually(d.blocked, "10s").Should(Receive())
	_, err = call(c, d, kindEcho, "")
	g.Expect(verdict.From(err).Verdict).To(Equal(verdict.NotRun))
	g.Expect(d.Stats().Refused).To(BeEquivalentTo(1))
	_, err = call(c, d, kindEcho, strings.Repeat("x", 1<<20))
	g.Expect(verdict.From(err).Reason).To(Equal(verdict.ReasonInvalid))
}

// Guards against connections that stay open while idle, or that close during a call.
func TestIdleConnectionCloses(t *testing.T) {
	g := NewWithT(t)
	cfg := peer.Config{CheckInterval: time.Millisecond, IdleTimeout: 5 * time.Millisecond}
	a, b := newNode(t, cfg), newNode(t, peer.Config{})
	for range 200 {
		g.Expect(call(a, b, kindEcho, "x")).To(Equal("x"))
		time.Sleep(time.Millisecond)
	}
	g.Eventually(func() int { return a.Stats().Connections + b.Stats().Connections }, "10s").Should(BeZero())
	g.Expect(call(a, b, kindEcho, "x")).To(Equal("x"))
}

// Guards against dialing an unreachable address without backoff.
func TestDialBackoff(t *testing.T) {
	g := NewWithT(t)
	a, b := newNode(t, peer.Config{MinBackoff: time.Hour, MaxBackoff: time.Hour}), newNode(t, peer.Config{})
	b.server.Close()
	for range 3 {
		_, err := call(a, b, kindEcho, "")
		v := verdict.From(err)
		g.Expect(v.Verdict).To(Equal(verdict.NotRun))
		g.Expect(v.Reason).To(Equal(verdict.ReasonPeerLost))
		g.Expect(v.RetryAfter).To(BeNumerically(">", 0))
	}
	g.Expect(a.Stats().Dials).To(BeEquivalentTo(1))
}

// Guards against accepting peers with a wrong key, and against a key change that requires
// restarting all daemons at the same time.
func TestKeys(t *testing.T) {
	g := NewWithT(t)
	both := newNode(t, peer.Config{Keys: []string{"new", "old"}})
	old := newNode(t, peer.Config{Keys: []string{"old"}})
	g.Expect(call(old, both, kindEcho, "x")).To(Equal("x"))
	for _, keys := range [][]string{nil, {"wrong"}} {
		_, err := call(newNode(t, peer.Config{Keys: keys}), both, kindEcho, "x")
		g.Expect(verdict.From(err).Verdict).To(Equal(verdict.NotRun))
	}
	g.Expect(both.Stats().RejectedHandshakes).To(BeEquivalentTo(2))
	remote := httptest.NewRequest(http.MethodGet, peer.Path, nil)
	remote.RemoteAddr = "192.0.2.1:1000"
	w := httptest.NewRecorder()
	newNode(t, peer.Config{}).ServeHTTP(w, remote)
	g.Expect(w.Code).To(Equal(http.StatusUnauthorized))
}
