package node

import (
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/internal/readahead"
)

// lateListener accepts connections whose reader gets no processor time once the requests have been read: what
// arrives after them is read only after delay.
type lateListener struct {
	net.Listener
	delay time.Duration
}

// Accept implements net.Listener.
func (l lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{TCPConn: c.(*net.TCPConn), delay: l.delay}, nil
}

type lateConn struct {
	*net.TCPConn
	delay time.Duration
	read  bool
}

// Read implements net.Conn.
func (c *lateConn) Read(b []byte) (int, error) {
	if c.read {
		time.Sleep(c.delay)
	}
	n, err := c.TCPConn.Read(b)
	c.read = c.read || n > 1 // the server reads the first byte alone
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *lateConn) SyscallConn() (syscall.RawConn, error) { return c.TCPConn.SyscallConn() }

// Guards against requests that reach a backend server although their clients have left (GONE), because the node that
// should notice it gets no processor time: at the node that received the request, and at the one beside the server.
func TestRequestIsNotSentOnceItsClientHasLeft(t *testing.T) {
	const work = 300 * time.Millisecond
	for name, start := range map[string]func(*testNode, net.Listener) func(){
		"client": func(n *testNode, l net.Listener) func() {
			s := readahead.NewServer(n.clientServerConfig(http.HandlerFunc(n.serveClient)), nil)
			go func() { _ = s.Serve(l) }()
			return func() { s.Close() }
		},
		"peer": func(n *testNode, l net.Listener) func() {
			s := newPlainServer(&http.Server{Handler: n.peerHandler(n.peerCalls())})
			go func() { _ = s.Serve(l) }()
			return func() { s.Close() }
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c := newTestCluster(t, 1)
			c.waitSettled()
			n := c.nodes[0]
			n.sim.mu.Lock()
			n.sim.work = work
			n.sim.mu.Unlock()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			stop := start(n, lateListener{l, 4 * work})
			defer stop()
			routes := n.views.current().Routes
			now := time.Now()
			ticket := ticket{instance: n.config.Instance, service: "booking", route: "book", sharded: true, key: 7, priority: 1, target: now.Add(time.Second), deadline: now.Add(2 * time.Second), routes: routes.Digest}.encode(now)
			request := func(id string) string {
				text := "POST /book/x HTTP/1.1\r\nHost: shop.example\r\n" + simID + ": " + id + "\r\n" + simKey + ": 7\r\n" + simDeadline + ": 2000\r\nContent-Length: 0\r\n"
				if name == "peer" {
					text += ticketHeader + ": " + ticket + "\r\n"
				}
				return text + "\r\n"
			}
			for i := range n.sim.slots { // they take all slots for a while
				c, err := net.Dial("tcp", l.Addr().String())
				g.Expect(err).NotTo(HaveOccurred())
				defer c.Close()
				fmt.Fprint(c, request(fmt.Sprint("stays", i)))
			}
			g.Eventually(func() int { return n.backend.queue.load().running }, work).Should(Equal(n.sim.slots))
			const left = 5
			for i := range left {
				c, err := net.Dial("tcp", l.Addr().String())
				g.Expect(err).NotTo(HaveOccurred())
				fmt.Fprint(c, request(fmt.Sprint("left", i)))
				g.Eventually(func() int { return n.backend.queue.load().waiting }, work/2).Should(Equal(i + 1))
				defer c.Close()
				g.Expect(c.(*net.TCPConn).CloseWrite()).To(Succeed())
			}
			time.Sleep(3 * work)
			for i := range n.sim.slots {
				g.Expect(n.sim.ran(fmt.Sprint("stays", i))).To(Equal(1))
			}
			for i := range left {
				g.Expect(n.sim.ran(fmt.Sprint("left", i))).To(BeZero())
			}
		})
	}
}
