package node

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a stop that waits for connections on which no request arrives, and against one that
// drops a request which is running, or which arrives just after the stop on a connection accepted before.
func TestShutdownWaitsForRequestsOnly(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	started, finish := make(chan struct{}), make(chan struct{})
	s := newPlainServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(started)
			<-finish
		}
		fmt.Fprint(w, "answered")
	})})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { c.Close() })
		return c
	}
	status := func(c net.Conn) int {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		g.Expect(err).NotTo(HaveOccurred())
		return resp.StatusCode
	}
	unused, slow := dial(), dial()
	fmt.Fprint(slow, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	<-started
	late := dial()
	g.Eventually(s.unusedCount, 5*time.Second).Should(Equal(2))
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(context.Background()) }()
	time.Sleep(unusedConnWait / 5)
	fmt.Fprint(late, "GET /late HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(status(late)).To(Equal(http.StatusOK), "its request arrived in time")
	g.Expect(unused.SetReadDeadline(time.Now().Add(2 * time.Second))).To(Succeed())
	_, err = unused.Read(make([]byte, 1))
	g.Expect(err).To(MatchError("EOF"), "no request arrived on it")
	g.Consistently(done, 300*time.Millisecond).ShouldNot(Receive(), "a request is running")
	close(finish)
	g.Expect(status(slow)).To(Equal(http.StatusOK))
	g.Eventually(done, 2*time.Second).Should(Receive(BeNil()))
	g.Expect(<-served).To(MatchError(http.ErrServerClosed))
}
