package readahead

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against memory that grows with a client that sends and does not read.
func TestSlowReaderIsHeldBack(t *testing.T) {
	g := NewWithT(t)
	s := newTestServer(t, nil)
	open := s.gate("/slow")
	defer open()
	c := dial(t, s.address)
	c.send(get("/slow"))
	go func() { // blocks once the server stops reading
		for i := range 20000 {
			if _, err := io.WriteString(c, get(fmt.Sprintf("/large/%d", 3000+i%10))); err != nil {
				return
			}
		}
	}()
	g.Eventually(s.heldBytes.Load, waitLimit).Should(BeNumerically(">", 8<<10))
	g.Consistently(s.heldBytes.Load, 200*time.Millisecond).Should(BeNumerically("<=", 64<<10+maxBufferedRequest))
	g.Expect(s.running.Load()).To(BeNumerically("<=", 16))
	open()
	body, _ := c.receive()
	g.Expect(body).To(Equal("GET /slow "))
	for i := range 200 {
		body, _ := c.receive()
		g.Expect(body).To(HaveLen(3000 + i%10))
	}
	c.Close()
	g.Eventually(s.heldBytes.Load, waitLimit).Should(BeZero())
}

// Guards against clients that send a header slowly, and against idle connections.
func TestTimeLimitsOfConnections(t *testing.T) {
	g := NewWithT(t)
	s := newTestServer(t, func(c *Config) {
		c.HeaderTimeout = func() time.Duration { return 100 * time.Millisecond }
		c.IdleTimeout = 300 * time.Millisecond
	})
	slow := dial(t, s.address)
	slow.send(get("/first"), "GET /second HTTP/1.1\r\nHost: h\r\n")
	body, _ := slow.receive()
	g.Expect(body).To(Equal("GET /first "), "what was read whole is answered")
	_, err := slow.reader.ReadByte()
	g.Expect(err).To(MatchError(io.EOF))
	idle := dial(t, s.address)
	_, err = idle.reader.ReadByte()
	g.Expect(err).To(MatchError(io.EOF))
	// A body may take longer than the header.
	c := dial(t, s.address)
	c.send("POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na")
	time.Sleep(200 * time.Millisecond)
	c.send("b")
	body, _ = c.receive()
	g.Expect(body).To(Equal("POST /p ab"))
}

// Guards against an idle limit that ends a request which outlasts it, or is not applied after
// the answer because the client has sent too few bytes of the next request.
func TestStrayBytesBehindASlowRequest(t *testing.T) {
	g := NewWithT(t)
	s := newTestServer(t, func(c *Config) { c.IdleTimeout = 50 * time.Millisecond })
	open := s.gate("/slow")
	c := dial(t, s.address)
	c.send(get("/slow"), "GE")
	g.Eventually(func() bool { return s.hasRun("/slow") }, waitLimit).Should(BeTrue())
	time.Sleep(200 * time.Millisecond)
	open()
	body, _ := c.receive()
	g.Expect(body).To(Equal("GET /slow "))
	_, err := c.reader.ReadByte()
	g.Expect(err).To(MatchError(io.EOF))
}

// Guards against clients that don't read their responses, each of which keeps a connection and its memory
// until it leaves, and against other clients that wait for them.
func TestClientThatDoesNotReadIsDisconnected(t *testing.T) {
	const size = 24 << 20 // more than the systems' buffers hold
	for name, sent := range map[string]string{
		"one response":       get(fmt.Sprint("/large/", size)),
		"held responses":     get("/slow") + strings.Repeat(get("/large/4000"), 60) + get(fmt.Sprint("/large/", size)),
		"rest of connection": "POST /large/" + fmt.Sprint(size) + " HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("b", 200000),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var timedOut atomic.Int64
			s := newTestServer(t, func(c *Config) {
				c.WriteTimeout, c.WriteTimedOut = 300*time.Millisecond, func() { timedOut.Add(1) }
			})
			open := s.gate("/slow")
			defer open()
			c := dial(t, s.address)
			c.send(sent)
			if name == "held responses" {
				g.Eventually(s.heldBytes.Load, waitLimit).Should(BeNumerically(">", 0))
				open()
			}
			g.Eventually(s.states.Load, waitLimit).Should(BeEquivalentTo(1))
			other := dial(t, s.address)
			other.send(get("/other"))
			body, _ := other.receive()
			g.Expect(body).To(Equal("GET /other "))
			other.Close()
			g.Eventually(s.states.Load, waitLimit).Should(BeZero(), "the client has not left")
			g.Expect(timedOut.Load()).To(BeNumerically(">", 0))
			g.Eventually(s.heldBytes.Load, waitLimit).Should(BeZero())
		})
	}
}

// Guards against a write timeout that ends a response to a client which reads slowly, but reads. In real
// time the client itself may stall for longer on a busy machine.
func TestSlowClientGetsItsResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		config := &Config{WriteTimeout: time.Second, WriteTimedOut: func() { t.Error("timed out") }}
		client, server := net.Pipe()
		defer client.Close()
		const pieces = 20
		written := make(chan error, 1)
		go func() {
			n, err := config.writePieces(server, make([]byte, pieces*maxWritePiece), nil)
			g.Expect(n).To(Equal(pieces * maxWritePiece))
			written <- err
		}()
		piece, started := make([]byte, maxWritePiece), time.Now()
		for range pieces {
			time.Sleep(900 * time.Millisecond)
			_, err := io.ReadFull(client, piece)
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(<-written).To(Succeed())
		g.Expect(time.Since(started)).To(BeNumerically(">", 10*config.WriteTimeout))
	})
}
