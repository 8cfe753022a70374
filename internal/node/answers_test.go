package node

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// answerRaw makes the backend servers of a cluster answer with raw bytes.
func (c *testCluster) answerRaw(answer func(c net.Conn, head string)) {
	for _, n := range c.nodes {
		n.sim.mu.Lock()
		n.sim.rawAnswer = answer
		n.sim.mu.Unlock()
	}
}

// Guards against a part of an answer that reaches the client as a complete one (MIXED): the backend server answers a long
// upload at once, without a length, and resets the connection while the upload is written. Through either node.
func TestAnswerThatIsResetDuringAnUploadIsNotPassedOnAsComplete(t *testing.T) {
	const tries = 20
	g := NewWithT(t)
	c := newTestCluster(t, 2)
	c.waitSettled()
	c.answerRaw(func(c net.Conn, head string) {
		_, _ = io.WriteString(c, head+"\r\npart of a body")
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	body := bytes.Repeat([]byte("0123456789abcdef"), 4<<20/16)
	for i := range tries {
		n := c.nodes[i%len(c.nodes)]
		status, answer, _ := sendLong(g, n.config.ClientAddress, "reset", c.nodes[0].ownedKey(), body, i%2 == 0)
		g.Expect(status).To(Equal(http.StatusBadGateway), "%q", answer)
	}
}

// Guards against answers that HTTP does not allow and that reach the client as answers (MIXED), through either node.
func TestAnswersThatAreNoHTTPAreAnsweredWithAnError(t *testing.T) {
	g := NewWithT(t)
	c := newTestCluster(t, 2)
	c.waitSettled()
	for name, replace := range map[string]func(head string) string{
		"status 000": func(head string) string {
			return strings.Replace(head, "200", "000", 1) + "Content-Length: 4\r\n\r\nbody"
		},
		"blank in a name":        func(head string) string { return head + "X Y: 1\r\nContent-Length: 4\r\n\r\nbody" },
		"control byte in a name": func(head string) string { return head + "X\x01: 1\r\nContent-Length: 4\r\n\r\nbody" },
		"blank before the colon": func(head string) string { return head + "Content-Length : 4\r\n\r\nbodyand more" },
		"blank in interim head": func(head string) string {
			return "HTTP/1.1 103 Early\r\nX Y: 1\r\n\r\n" + head + "Content-Length: 4\r\n\r\nbody"
		},
		"blank in a trailer": func(head string) string {
			return head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX Y: 1\r\n\r\n"
		},
		"control byte in trailer": func(head string) string {
			return head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX\x01: 1\r\n\r\n"
		},
	} {
		c.answerRaw(func(c net.Conn, head string) { _, _ = io.WriteString(c, replace(head)) })
		for _, n := range c.nodes {
			status, answer, _, err := send(t.Context(), http.MethodPost, n.config.ClientAddress, "/book/odd", "odd", c.nodes[0].ownedKey(), "x")
			g.Expect(err).NotTo(HaveOccurred(), name)
			g.Expect(status).To(Equal(http.StatusBadGateway), "%s: %q", name, answer)
		}
	}
}
