package daemon

import (
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against calls that a graceful stop resets: connections in the listen backlog are
// served although the server had not accepted them before the listener closed.
func TestBacklogConnectionsAreServed(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	var callers []net.Conn
	for range 5 {
		c, err := net.Dial("tcp", l.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		callers = append(callers, c)
	}
	waiting, err := takeBacklog(l)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(waiting).To(HaveLen(5))
	g.Expect(l.Close()).To(Succeed())
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })}
	defer server.Close()
	go func() { _ = server.Serve(newConnListener(l.Addr(), waiting)) }()
	for _, c := range callers {
		answer, err := io.ReadAll(c)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(answer)).To(HaveSuffix("answer"))
	}
	_, err = net.Dial("tcp", l.Addr().String())
	g.Expect(err).To(HaveOccurred())
}
