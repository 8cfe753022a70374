package node

import (
	"bytes"
	"io"
	"net"
	"net/http"
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
