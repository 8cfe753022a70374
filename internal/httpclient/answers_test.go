package httpclient

import (
	"bufio"
	"bytes"
	"context"
	"errors"
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

// Guards against answers that HTTP does not allow and that net/http takes (MIXED): a status that is none, and names of
// fields with a blank or a control byte, in the head, in an interim head and in trailers.
func TestAnswersThatAreNoHTTPAreNotPassedOn(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
	for name, answer := range map[string]string{
		"status 000":                       "HTTP/1.1 000 OK\r\n" + idHeader + ": 1\r\nContent-Length: 4\r\n\r\nbody",
		"status 099":                       "HTTP/1.1 099 OK\r\n" + idHeader + ": 1\r\nContent-Length: 4\r\n\r\nbody",
		"status 101":                       "HTTP/1.1 101 OK\r\n" + idHeader + ": 1\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\nbody",
		"interim status 000":               "HTTP/1.1 000 Early\r\n\r\n" + statusOK + "Content-Length: 4\r\n\r\nbody",
		"blank in a name":                  statusOK + "X Y: 1\r\nContent-Length: 4\r\n\r\nbody",
		"blank behind the name of length":  statusOK + "Content-Length : 4\r\n\r\nbodyand more",
		"blank behind the name of coding":  statusOK + "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"tab behind the name of length":    statusOK + "Content-Length\t: 4\r\n\r\nbodyand more",
		"control byte in a name":           statusOK + "X\x01Y: 1\r\nContent-Length: 4\r\n\r\nbody",
		"zero byte in a name":              statusOK + "X\x00Y: 1\r\nContent-Length: 4\r\n\r\nbody",
		"delete byte in a name":            statusOK + "X\x7fY: 1\r\nContent-Length: 4\r\n\r\nbody",
		"control byte in a value":          statusOK + "X: a\x01b\r\nContent-Length: 4\r\n\r\nbody",
		"no name":                          statusOK + ": 1\r\nContent-Length: 4\r\n\r\nbody",
		"blank in a name of interim head":  "HTTP/1.1 103 Early\r\nX Y: 1\r\n\r\n" + statusOK + "Content-Length: 4\r\n\r\nbody",
		"control byte in the interim head": "HTTP/1.1 103 Early\r\nX\x01Y: 1\r\n\r\n" + statusOK + "Content-Length: 4\r\n\r\nbody",
		"blank in a name of a trailer":     statusOK + chunked + "X Y: 1\r\n\r\n",
		"control byte in a trailer":        statusOK + chunked + "X\x01Y: 1\r\n\r\n",
		"announced trailer with a blank":   statusOK + "Trailer: X Y\r\n" + chunked + "X Y: 1\r\n\r\n",
		"line without a colon in trailers": statusOK + chunked + "nonsense\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, body, err := sendThrough(t, Exchange{}, func(c net.Conn) { _, _ = io.WriteString(c, answer) })
			g.Expect(err).To(HaveOccurred(), "body %q", body)
			g.Expect(err).NotTo(MatchError(context.DeadlineExceeded))
			var failure *Error
			if errors.As(err, &failure) {
				g.Expect(failure.Stage).To(Equal(Sent), "the request may have run")
				g.Expect(failure.BadResponse).To(BeTrue())
			}
		})
	}
}

// Guards against a check of answers that refuses what HTTP allows.
func TestUnusualAnswersArePassedOn(t *testing.T) {
	for name, answer := range map[string]string{
		"interim head with fields": "HTTP/1.1 103 Early Hints\r\nLink: </x>; rel=preload\r\n\r\n" + statusOK + "Content-Length: 4\r\n\r\nbody",
		"all signs of a name":      statusOK + "!#$%&'*+-.^_`|~09: 1\r\nContent-Length: 4\r\n\r\nbody",
		"trailers":                 statusOK + "Trailer: X-T\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-T: 1\r\n\r\n",
		"ends with its connection": statusOK + "\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			status, body, err := sendThrough(t, Exchange{}, func(c net.Conn) { _, _ = io.WriteString(c, answer) })
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(status).To(Equal(http.StatusOK))
			g.Expect(body).To(Equal("body"))
		})
	}
}
