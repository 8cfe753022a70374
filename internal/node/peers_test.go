package node

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/basilway/basilway/internal/testproxy"
	"github.com/basilway/basilway/verdict"
)

// Guards against cancelling a request that its backend server is running: a stopping node
// closes its port first, then finishes its requests.
func TestPeerWithAClosedPortMayFinishItsRequests(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := l.Addr().String()
	l.Close()
	p := newPeers(zap.NewNop(), func() bool { return false })
	ctx, end := p.beginRequest(context.Background(), address, 0, true)
	g.Eventually(func() bool { return p.isLost(address) }, 5*time.Second).Should(BeTrue())
	g.Expect(ctx.Err()).NotTo(HaveOccurred())
	end(outcome{err: verdict.New(verdict.NotRun, verdict.ReasonPeerLost, "")}, nil)
	p.retain(nil)
}

// Guards against a stopping node that cancels a request that its backend server may be
// running.
func TestStoppingNodeCancelsNoRequests(t *testing.T) {
	g := NewWithT(t)
	p := newPeers(zap.NewNop(), func() bool { return true })
	ctx, end := p.beginRequest(context.Background(), "127.0.0.1:1", 0, true)
	p.mu.Lock()
	p.cancelRequestsLocked(p.getLocked("127.0.0.1:1"))
	p.mu.Unlock()
	g.Expect(ctx.Err()).NotTo(HaveOccurred())
	end(outcome{err: verdict.New(verdict.NotRun, verdict.ReasonPeerLost, "")}, nil)
}

// Guards against requests that wait until their deadline for a peer that stopped responding,
// although they could run elsewhere, and against a peer that stays lost after a pause.
func TestSilentPeerIsLostUntilItResponds(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	responds := make(chan bool, 1)
	responds <- false
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				up := <-responds
				responds <- up
				if up {
					_, _ = c.Write([]byte("HTTP/1.1 204 No Content\r\n\r\n"))
					return
				}
				time.Sleep(time.Second)
			}()
		}
	}()
	p := newPeers(zap.NewNop(), func() bool { return false })
	address := l.Addr().String()
	ctx, end := p.beginRequest(context.Background(), address, 0, true)
	g.Eventually(ctx.Done(), 5*time.Second).Should(BeClosed())
	g.Expect(context.Cause(ctx)).To(MatchError(errPeerSilent))
	end(outcome{err: verdict.New(verdict.MayHaveRun, verdict.ReasonPeerLost, "")}, context.Canceled)
	g.Expect(p.isLost(address)).To(BeTrue())
	<-responds
	responds <- true
	g.Eventually(func() bool { return p.isLost(address) }, 5*time.Second).Should(BeFalse())
}

// Load pattern: a fast backend server runs mostly long requests and a slow one mostly short
// calls. By the mean of all its requests the fast one would look slower, and the calls would
// go to the slow one.
func TestFastServerOfLongRequestsIsFoundForShortOnes(t *testing.T) {
	g := NewWithT(t)
	const long, short = 160 * time.Millisecond, 30 * time.Millisecond
	p := newPeers(zap.NewNop(), func() bool { return false })
	p.mu.Lock()
	fast, slow := p.getLocked("fast"), p.getLocked("slow")
	for range 100 {
		fast.observeSlowness(long*2/3, long)
		slow.observeSlowness(short*2, short)
	}
	p.mu.Unlock()
	now := time.Now()
	g.Expect(p.candidate("fast", short, false, now).Completion()).To(BeNumerically("<", p.candidate("slow", short, false, now).Completion()))
	g.Expect(p.candidate("fast", long, false, now).Work).To(BeNumerically("~", long*2/3, long/20))
	// One request that takes very long does not make a server look useless.
	p.mu.Lock()
	fast.observeSlowness(100*long, long)
	p.mu.Unlock()
	g.Expect(p.candidate("fast", short, false, now).Work).To(BeNumerically("<", short))
}

// Guards against messages to a peer that fail one after the other, because each uses another idle
// connection that went silent together with the first one.
func TestMessageAfterASilentOneIsAnswered(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	peer := New(Config{Instance: "a", Protocol: simProtocol{}}, zap.NewNop())
	var arrived sync.WaitGroup
	arrived.Add(3)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == pingPath { // the first ones use a connection each
			arrived.Done()
			arrived.Wait()
		}
		peer.peerCalls().ServeHTTP(w, r)
	}))
	defer server.Close()
	proxy := testproxy.New(t, server.Listener.Addr().String())
	n := New(Config{Instance: "b", Protocol: simProtocol{}}, zap.NewNop())
	var pings sync.WaitGroup
	for range 3 {
		pings.Go(func() { g.Expect(n.peers.ping(n.peers.pool(proxy.Address()), proxy.Address())).To(Succeed()) })
	}
	pings.Wait()
	time.Sleep(10 * time.Millisecond) // the connections become idle
	proxy.GoSilent()
	g.Expect(n.desired.compare(t.Context(), proxy.Address())).NotTo(Succeed())
	g.Expect(n.desired.compare(t.Context(), proxy.Address())).To(Succeed())
}
