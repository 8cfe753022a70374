package httpclient

import (
	"bufio"
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const idHeader = "X-Id"

// newTestPool starts a server that runs handle on each accepted connection, and returns a
// pool for it.
func newTestPool(t *testing.T, handle func(c net.Conn, r *bufio.Reader)) *Pool {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(c, bufio.NewReader(c))
			}()
		}
	}()
	p := NewPool(l.Addr().String(), Config{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4, ReadBuffer: 1024})
	t.Cleanup(func() {
		l.Close()
		p.Close()
	})
	return p
}

// readRequest reads a whole request; it returns nil on an error.
func readRequest(r *bufio.Reader) *http.Request {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, req.Body)
	return req
}

func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\n" + idHeader + ": " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func get(p *Pool, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	resp, err := p.Do(ctx, Exchange{Method: "GET", URI: "/", Host: "h", Header: http.Header{idHeader: {id}}, IDHeader: idHeader, ID: id}, nil)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against passing on the response to another request, which happens when a late
// second response arrives before the response to the next request.
func TestResponsesToOtherRequestsAreSkipped(t *testing.T) {
	g := NewWithT(t)
	p := newTestPool(t, func(c net.Conn, r *bufio.Reader) {
		for req := readRequest(r); req != nil; req = readRequest(r) {
			_, _ = io.WriteString(c, response("other", "bad")+response(req.Header.Get(idHeader), "good"))
		}
	})
	for _, id := range []string{"1", "2"} {
		body, err := get(p, id)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("good"))
	}
	g.Expect(p.Stats().Dials).To(BeEquivalentTo(2), "a connection with a stray response is not reused")
}

// Guards against reusing a connection on which bytes arrived while it was idle.
func TestConnectionWithStrayBytesIsNotReused(t *testing.T) {
	g := NewWithT(t)
	strayWritten := make(chan struct{}, 4)
	p := newTestPool(t, func(c net.Conn, r *bufio.Reader) {
		for req := readRequest(r); req != nil; req = readRequest(r) {
			_, _ = io.WriteString(c, response(req.Header.Get(idHeader), "good"))
			// Wait until the client has read the response and returned the connection to
			// the pool.
			time.Sleep(50 * time.Millisecond)
			_, _ = io.WriteString(c, response(req.Header.Get(idHeader), "evil"))
			strayWritten <- struct{}{}
		}
	})
	for range 2 {
		// Both requests have the same id, so that only the state of the connection tells
		// the responses apart.
		body, err := get(p, "1")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("good"))
		<-strayWritten
	}
	g.Expect(p.Stats().Dials).To(BeEquivalentTo(2))
	g.Expect(p.Stats().Reused).To(BeZero())
}

// Guards against reporting a request as not sent although some of its bytes were.
func TestStageTellsWhetherBytesWereSent(t *testing.T) {
	g := NewWithT(t)
	p := newTestPool(t, func(c net.Conn, r *bufio.Reader) { readRequest(r) })
	_, err := get(p, "1")
	var failure *Error
	g.Expect(errors.As(err, &failure)).To(BeTrue())
	g.Expect(failure.Stage).To(Equal(Sent))
	g.Expect(failure.Closed).To(BeTrue())

	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := l.Addr().String()
	l.Close()
	closed := NewPool(address, Config{DialTimeout: time.Second, ReadBuffer: 1024})
	_, err = get(closed, "1")
	g.Expect(errors.As(err, &failure)).To(BeTrue())
	g.Expect(failure.Stage).To(Equal(NotSent))
	g.Expect(failure.Refused).To(BeTrue())
}

// Guards against a truncated response that looks complete.
func TestTruncatedResponseIsAnError(t *testing.T) {
	g := NewWithT(t)
	p := newTestPool(t, func(c net.Conn, r *bufio.Reader) {
		req := readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": "+req.Header.Get(idHeader)+"\r\nContent-Length: 9\r\n\r\nhalf")
	})
	_, err := get(p, "1")
	g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
}

// Guards against a deadlock with a server that responds before it has read a long body, and
// against the rest of that body being taken for a request.
func TestEarlyResponseBeforeBodyIsRead(t *testing.T) {
	g := NewWithT(t)
	p := newTestPool(t, func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, response(req.Header.Get(idHeader), "early"))
		time.Sleep(time.Second)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	resp, err := p.Do(ctx, Exchange{Method: "POST", URI: "/", Host: "h", Header: http.Header{}, Body: make([]byte, 32<<20), IDHeader: idHeader, ID: ""}, nil)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	g.Expect(p.idle).To(BeEmpty(), "a part of the body has not been sent on the connection")
}

// Guards against a server that continues to work after the caller has cancelled: the
// connection is closed.
func TestCancelClosesTheConnection(t *testing.T) {
	g := NewWithT(t)
	ended := make(chan struct{})
	p := newTestPool(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = r.ReadByte()
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := p.Do(ctx, Exchange{Method: "GET", URI: "/", Host: "h", Header: http.Header{}}, nil)
	g.Expect(err).To(MatchError(context.Canceled))
	g.Eventually(ended).Should(BeClosed())
}

// Guards against a request on a connection that the server is about to close because its
// idle timeout has nearly expired.
func TestConnectionIsNotReusedNearServerIdleTimeout(t *testing.T) {
	g := NewWithT(t)
	p := newTestPool(t, func(c net.Conn, r *bufio.Reader) {
		for req := readRequest(r); req != nil; req = readRequest(r) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": "+req.Header.Get(idHeader)+"\r\nKeep-Alive: timeout=1\r\nContent-Length: 1\r\n\r\nx")
		}
	})
	_, err := get(p, "1")
	g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(800 * time.Millisecond)
	_, err = get(p, "2")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.Stats().Dials).To(BeEquivalentTo(2))
}

// Guards against an answer to an earlier try that is taken for the answer to a later one of the same request
// (REFUSED, TWICE): a faulty server writes a refusal once more on a connection that served other requests since.
func TestRepeatedAnswerToAnEarlierTryIsNotUsed(t *testing.T) {
	g := NewWithT(t)
	var mu sync.Mutex
	tries := map[string]int{}
	p := newTestPool(t, func(c net.Conn, r *bufio.Reader) {
		seen := map[string]string{}
		for req := readRequest(r); req != nil; req = readRequest(r) {
			id := req.Header.Get(idHeader)
			mu.Lock()
			tries[id]++
			answer := response(id, strconv.Itoa(tries[id]))
			mu.Unlock()
			_, _ = io.WriteString(c, seen[id]+answer)
			seen[id] = answer
		}
	})
	for _, id := range []string{"a", "b", "c"} {
		body, err := get(p, id)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("1"))
	}
	g.Expect(p.Stats().Dials).To(BeEquivalentTo(1))
	for _, want := range []string{"2", "3"} {
		for _, id := range []string{"a", "b", "c"} {
			body, err := get(p, id)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body).To(Equal(want), "request %s", id)
		}
		for range 2 * maxConnRequests { // the connections are replaced
			_, err := get(p, rand.Text())
			g.Expect(err).NotTo(HaveOccurred())
		}
	}
}

// Guards against a head that breaks off and is taken for a whole one (MIXED): the answer would be a success with an
// empty or short body.
func TestHeadThatBreaksOffIsNoResponse(t *testing.T) {
	g := NewWithT(t)
	const id = idHeader + ": 1\r\n"
	for _, whole := range []string{
		"HTTP/1.1 200 OK\r\n" + id + "Content-Length: 4\r\nSeal: abc\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + id + "Connection: close\r\n\r\n",
		"HTTP/1.0 200 OK\r\n" + id + "\r\n",
		"HTTP/1.1 204 No Content\r\n" + id + "\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + id + "Content-Length: 0\r\n\r\n",
	} {
		for end := range len(whole) {
			p := newTestPool(t, func(c net.Conn, r *bufio.Reader) {
				if readRequest(r) != nil {
					_, _ = io.WriteString(c, whole[:end])
				}
			})
			body, err := get(p, "1")
			g.Expect(err).To(HaveOccurred(), "%q was taken for a response with body %q", whole[:end], body)
			var failure *Error
			g.Expect(errors.As(err, &failure)).To(BeTrue())
			g.Expect(failure.Stage).To(Equal(Sent), "it may have run")
			p.Close()
		}
	}
}

// Guards against a request that is sent although its context has ended (GONE): the connection was closed only
// after that.
func TestRequestOfAnEndedContextIsNotSent(t *testing.T) {
	g := NewWithT(t)
	var served atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) }))
	defer s.Close()
	p := NewPool(s.Listener.Addr().String(), Config{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4, ReadBuffer: 4096})
	defer p.Close()
	exchange := Exchange{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}}
	resp, err := p.Do(t.Context(), exchange, nil) // leaves an idle connection
	g.Expect(err).NotTo(HaveOccurred())
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	for range 50 {
		ctx, cancel := context.WithCancel(t.Context())
		// It ends while the request is prepared, as when a caller leaves at the moment at which a slot becomes free.
		_, err := p.Do(ctx, exchange, func() error { cancel(); return nil })
		var failure *Error
		g.Expect(errors.As(err, &failure)).To(BeTrue())
		g.Expect(failure.Stage).To(Equal(NotSent))
	}
	g.Consistently(served.Load, 100*time.Millisecond).Should(BeEquivalentTo(1))
}

// Guards against a request that is delivered after its context has ended (GONE), because closing a connection lets the
// system send what it still has.
func TestConnectionOfAnEndedContextIsReset(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	p := NewPool(l.Addr().String(), Config{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4, ReadBuffer: 4096})
	defer p.Close()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, err := p.Do(ctx, Exchange{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}}, nil)
		done <- err
	}()
	c, err := l.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_, err = http.ReadRequest(bufio.NewReader(c))
	g.Expect(err).NotTo(HaveOccurred())
	cancel()
	g.Expect(<-done).To(MatchError(context.Canceled))
	_, err = c.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(syscall.ECONNRESET))
}
