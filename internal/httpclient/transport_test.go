package httpclient

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against answers that clients of other libraries take although a Pool refuses them (MIXED): a part of one whose
// connection is reset during an upload, and names of fields that HTTP does not allow.
func TestTransportRefusesWhatAPoolRefuses(t *testing.T) {
	const whole = "Content-Length: 4\r\n\r\nbody"
	for name, c := range map[string]struct {
		answer string
		reset  bool
		body   string // empty if the answer is refused
	}{
		"whole":                    {statusOK + whole, false, "body"},
		"chunks":                   {statusOK + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false, "body"},
		"interim head":             {"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + statusOK + whole, false, "body"},
		"reset during an upload":   {statusOK + "\r\npart of a body", true, ""},
		"without an end":           {statusOK + "\r\nbody", false, ""},
		"blank in a name":          {statusOK + "X Y: 1\r\n" + whole, false, ""},
		"blank before the colon":   {statusOK + "Content-Length : 4\r\n\r\nbodyand more", false, ""},
		"blank in an interim head": {"HTTP/1.1 103 Early\r\nX Y: 1\r\n\r\n" + statusOK + whole, false, ""},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := newTestPool(t, func(conn net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(conn, c.answer)
				if c.reset {
					time.Sleep(20 * time.Millisecond)
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			dialer := &net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
				return raw.Control(func(fd uintptr) {
					_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBuffer)
				})
			}}
			var upload []byte
			tries := 1
			if c.reset {
				upload, tries = bytes.Repeat([]byte("a piece of a long upload"), 40_000), resetTries
			}
			for range tries {
				base := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
				req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+p.Address(), bytes.NewReader(upload))
				g.Expect(err).NotTo(HaveOccurred())
				resp, err := Transport{base}.RoundTrip(req)
				if c.body == "" {
					g.Expect(err).To(HaveOccurred())
					continue
				}
				g.Expect(err).NotTo(HaveOccurred())
				body, err := io.ReadAll(resp.Body)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.Body.Close()).To(Succeed())
				g.Expect(string(body)).To(Equal(c.body))
			}
		})
	}
}
