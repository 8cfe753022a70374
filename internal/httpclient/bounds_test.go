package httpclient

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// maxServed is more than any response may have before its body, with what the systems' buffers hold.
const maxServed = 16 << 20

// Guards against memory that grows until the deadline with what a faulty server sends before the body
// of a response, or in place of one. The connection is closed at the bound, and the request may have run.
func TestResponsesWithoutEndAreCutOff(t *testing.T) {
	for name, c := range map[string]struct {
		start, repeated string
		bound           string
	}{
		"header lines":      {"HTTP/1.1 200 OK\r\n", "X-Fill: " + strings.Repeat("x", 100) + "\r\n", boundHead},
		"one header line":   {"HTTP/1.1 200 OK\r\nX-Fill: ", strings.Repeat("x", 100), boundHead},
		"status line":       {"HTTP/1.1 200 ", strings.Repeat("x", 100), boundHead},
		"no response":       {"", strings.Repeat("\x00", 100), boundHead},
		"interim responses": {"", "HTTP/1.1 100 Continue\r\n\r\n", boundInterim},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var served atomic.Int64
			closed := make(chan struct{})
			p := newTestPool(t, func(conn net.Conn, r *bufio.Reader) {
				defer close(closed)
				if readRequest(r) == nil {
					return
				}
				_, err := io.WriteString(conn, c.start)
				for err == nil && served.Load() < maxServed {
					_, err = io.WriteString(conn, c.repeated)
					served.Add(int64(len(c.repeated)))
				}
			})
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			_, err := p.Do(ctx, Exchange{Method: "POST", URI: "/", Host: "h", Header: http.Header{idHeader: {"1"}}, IDHeader: idHeader, ID: "1"}, nil)
			var failure *Error
			g.Expect(errors.As(err, &failure)).To(BeTrue())
			g.Expect(failure.Stage).To(Equal(Sent), "the request may have run")
			g.Expect(failure.BadResponse).To(BeTrue())
			var bound *BoundError
			g.Expect(errors.As(err, &bound)).To(BeTrue(), "%v", err)
			g.Expect(bound.Bound).To(Equal(c.bound))
			g.Eventually(closed).WithTimeout(10 * time.Second).Should(BeClosed())
			g.Expect(served.Load()).To(BeNumerically("<", maxServed))
		})
	}
}

// Guards against a body without end that is kept: it is streamed, and ends when its reader closes it.
func TestBodyWithoutEndIsStreamed(t *testing.T) {
	for name, c := range map[string]struct{ header, repeated string }{
		"ended by the connection": {"", strings.Repeat("x", 1000)},
		"chunks":                  {"Transfer-Encoding: chunked\r\n", "4\r\nabcd\r\n"},
		"chunk extensions":        {"Transfer-Encoding: chunked\r\n", "4;ext=" + strings.Repeat("x", 1000) + "\r\nabcd\r\n"},
		"trailers":                {"Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n0", "X-T: " + strings.Repeat("x", 1000) + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			closed := make(chan struct{})
			p := newTestPool(t, func(conn net.Conn, r *bufio.Reader) {
				defer close(closed)
				if req := readRequest(r); req != nil {
					_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+idHeader+": "+req.Header.Get(idHeader)+"\r\n"+c.header+"\r\n")
					for err == nil {
						_, err = io.WriteString(conn, c.repeated)
					}
				}
			})
			resp, err := p.Do(t.Context(), Exchange{Method: "GET", URI: "/", Host: "h", Header: http.Header{idHeader: {"1"}}, IDHeader: idHeader, ID: "1"}, nil)
			g.Expect(err).NotTo(HaveOccurred())
			n, err := io.CopyN(io.Discard, resp.Body, 1<<20)
			if n < 1<<20 {
				g.Expect(err).NotTo(MatchError(io.EOF), "a broken body must not look complete")
			}
			g.Expect(resp.Body.Close()).To(Succeed())
			g.Eventually(closed).WithTimeout(10 * time.Second).Should(BeClosed())
		})
	}
}

// Guards against a second copy of a refusal that arrives while the same request is sent again on the same
// connection: it would say that the request did not run, although this time it may.
func TestRequestIsNotSentAgainOnTheSameConnection(t *testing.T) {
	g := NewWithT(t)
	p := newTestPool(t, func(c net.Conn, r *bufio.Reader) {
		refused := false
		for req := readRequest(r); req != nil; req = readRequest(r) {
			id := req.Header.Get(idHeader)
			if !refused && id == "1" && req.Header.Get("X-Again") == "" {
				_, _ = io.WriteString(c, response(id, "full"))
				refused = true
				continue
			}
			if refused { // the copy of the refusal, late
				_, _ = io.WriteString(c, response(id, "full"))
			}
			_, _ = io.WriteString(c, response(id, "good"))
		}
	})
	send := func(again string) string {
		resp, err := p.Do(t.Context(), Exchange{Method: "POST", URI: "/", Host: "h", Header: http.Header{idHeader: {"1"}, "X-Again": {again}}, IDHeader: idHeader, ID: "1"}, nil)
		g.Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
		return string(body)
	}
	g.Expect(send("")).To(Equal("full"))
	g.Expect(send("yes")).To(Equal("good"))
}

// Guards against reusing a connection on which bytes arrived while it was idle, where requests have no
// ids, as between nodes and to the store.
func TestConnectionWithStrayBytesIsNotReusedWithoutIDs(t *testing.T) {
	g := NewWithT(t)
	strayWritten := make(chan struct{}, 4)
	p := newTestPool(t, func(c net.Conn, r *bufio.Reader) {
		for req := readRequest(r); req != nil; req = readRequest(r) {
			_, _ = io.WriteString(c, response("", "good"))
			time.Sleep(50 * time.Millisecond) // until the connection is idle
			_, _ = io.WriteString(c, response("", "evil"))
			strayWritten <- struct{}{}
		}
	})
	for range 2 {
		resp, err := p.Do(t.Context(), Exchange{Method: "GET", URI: "/", Host: "h", Header: http.Header{}}, nil)
		g.Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.Body.Close()).To(Succeed())
		g.Expect(string(body)).To(Equal("good"))
		<-strayWritten
	}
	g.Expect(p.Stats().Reused).To(BeZero())
}
