package httpclient

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const idHeader = "X-Id"

// server runs script on each accepted connection.
func server(t *testing.T, script func(c net.Conn, r *bufio.Reader)) *Pool {
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
				script(c, bufio.NewReader(c))
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

// next reads one request whole.
func next(r *bufio.Reader) *http.Request {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, req.Body)
	return req
}

func answer(id, body string) string {
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

// Guards against an answer of another request being passed on: a late second answer comes
// where the next one is due.
func TestAnswersOfOtherRequestsAreSkipped(t *testing.T) {
	g := NewWithT(t)
	p := server(t, func(c net.Conn, r *bufio.Reader) {
		for req := next(r); req != nil; req = next(r) {
			_, _ = io.WriteString(c, answer("other", "bad")+answer(req.Header.Get(idHeader), "good"))
		}
	})
	for _, id := range []string{"1", "2"} {
		body, err := get(p, id)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("good"))
	}
	g.Expect(p.Stats().Dials).To(BeEquivalentTo(2), "a connection with a stray answer is not used again")
}

// Guards against reuse of a connection on which bytes arrived while it was idle.
func TestConnectionWithStrayBytesIsNotReused(t *testing.T) {
	g := NewWithT(t)
	written := make(chan struct{}, 4)
	p := server(t, func(c net.Conn, r *bufio.Reader) {
		for req := next(r); req != nil; req = next(r) {
			_, _ = io.WriteString(c, answer(req.Header.Get(idHeader), "good"))
			// The client has the answer and keeps the connection.
			time.Sleep(50 * time.Millisecond)
			_, _ = io.WriteString(c, answer(req.Header.Get(idHeader), "evil"))
			written <- struct{}{}
		}
	})
	for range 2 {
		// The id is the same, so that only the state of the connection tells the answers
		// apart.
		body, err := get(p, "1")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("good"))
		<-written
	}
	g.Expect(p.Stats().Dials).To(BeEquivalentTo(2))
	g.Expect(p.Stats().Reused).To(BeZero())
}

// Guards against a claim that a request was not sent although bytes of it were.
func TestStageTellsWhetherBytesWereSent(t *testing.T) {
	g := NewWithT(t)
	p := server(t, func(c net.Conn, r *bufio.Reader) { next(r) })
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

// Guards against a cut answer that looks complete.
func TestCutAnswerIsAnError(t *testing.T) {
	g := NewWithT(t)
	p := server(t, func(c net.Conn, r *bufio.Reader) {
		req := next(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": "+req.Header.Get(idHeader)+"\r\nContent-Length: 9\r\n\r\nhalf")
	})
	_, err := get(p, "1")
	g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
}

// Guards against a deadlock with a server that answers before it has read a long body,
// and against the rest of that body being taken for a request.
func TestEarlyAnswerToAnUnreadBody(t *testing.T) {
	g := NewWithT(t)
	p := server(t, func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, answer(req.Header.Get(idHeader), "early"))
		time.Sleep(time.Second)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	resp, err := p.Do(ctx, Exchange{Method: "POST", URI: "/", Host: "h", Header: http.Header{}, Body: make([]byte, 32<<20), IDHeader: idHeader, ID: ""}, nil)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	g.Expect(p.idle).To(BeEmpty(), "the connection still owes a part of the body")
}

// Guards against work that goes on after its caller left: the connection is closed.
func TestCancelClosesTheConnection(t *testing.T) {
	g := NewWithT(t)
	ended := make(chan struct{})
	p := server(t, func(c net.Conn, r *bufio.Reader) {
		next(r)
		_, _ = r.ReadByte()
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := p.Do(ctx, Exchange{Method: "GET", URI: "/", Host: "h", Header: http.Header{}}, nil)
	g.Expect(err).To(MatchError(context.Canceled))
	g.Eventually(ended).Should(BeClosed())
}

// Guards against a request on a connection that the server is about to close because it
// was idle for as long as the server keeps one.
func TestConnectionIsNotUsedCloseToTheServersIdleTime(t *testing.T) {
	g := NewWithT(t)
	p := server(t, func(c net.Conn, r *bufio.Reader) {
		for req := next(r); req != nil; req = next(r) {
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
