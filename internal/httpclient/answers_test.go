package httpclient

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// sendThrough sends a request whose answer is sent by answer after the head of the request, and returns the status and
// the whole body.
func sendThrough(t *testing.T, e Exchange, answer func(c net.Conn)) (status int, body string, err error) {
	t.Helper()
	p := newTestPool(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			answer(c)
		}
	})
	p.dialer.Control = func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBuffer)
		})
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	e.Method, e.URI, e.Host = http.MethodPost, "/", "h"
	e.Header, e.IDHeader, e.ID = http.Header{idHeader: {"1"}}, idHeader, "1"
	resp, err := p.Do(ctx, e, nil)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	if e.Body != nil {
		time.Sleep(resetNoticed)
	}
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// sendBuffer is the size in bytes of the send buffer of connections: less than an upload.
const sendBuffer = 8 << 10

// resetNoticed is the time within which a write finds that its connection was reset.
const resetNoticed = 300 * time.Millisecond

// upload is a body that is written until its reader gives up, a piece at a time.
type upload struct{}

func (upload) Read(p []byte) (int, error) {
	return copy(p, "a piece of a long upload"), nil
}

const statusOK = "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\n"

// Guards against a part of an answer that counts as a complete one (MIXED): the endpoint answers a long upload at once,
// without a length, and resets the connection, and the upload gets the error of the reset.
func TestAnswerThatIsResetDuringAnUploadIsNotComplete(t *testing.T) {
	kept := bytes.Repeat([]byte("a piece of a long upload"), 40_000)
	for name, c := range map[string]struct {
		exchange Exchange
		tries    int
	}{
		"kept for another try":         {Exchange{Body: kept}, 1},
		"kept, and more in chunks":     {Exchange{Body: kept, Stream: upload{}, StreamLength: -1}, 1},
		"kept, and more with a length": {Exchange{Body: kept, Stream: upload{}, StreamLength: 1 << 30}, 1},
		"in chunks":                    {Exchange{Stream: upload{}, StreamLength: -1}, resetTries},
		"with a length":                {Exchange{Stream: upload{}, StreamLength: 1 << 30}, resetTries},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for range c.tries {
				status, body, err := sendThrough(t, c.exchange, func(c net.Conn) {
					_, _ = io.WriteString(c, statusOK+"\r\npart of a body")
					time.Sleep(20 * time.Millisecond) // until it has arrived
					_ = c.(*net.TCPConn).SetLinger(0)
					c.Close()
				})
				g.Expect(status).To(Equal(http.StatusOK))
				g.Expect(err).To(HaveOccurred(), "body %q", body)
			}
		})
	}
}

// resetTries is how often a reset is tried that a read and a write find at the same time.
const resetTries = 50

// Guards against a whole answer without a length that counts as broken, because the endpoint closes its own direction
// of the connection before it has read the upload.
func TestAnswerThatEndsWithItsConnectionDuringAnUploadIsComplete(t *testing.T) {
	g := NewWithT(t)
	status, body, err := sendThrough(t, Exchange{Stream: upload{}, StreamLength: -1}, func(c net.Conn) {
		_, _ = io.WriteString(c, statusOK+"\r\na whole body")
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(http.StatusOK))
	g.Expect(body).To(Equal("a whole body"))
}
