package readahead

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/internal/inputlimit"
	"github.com/basilway/basilway/memorybudget"
)

// Guards against a connection that is kept forever, with what it holds, because its client has stopped just short of the end of
// a body; one that goes on is served however long it takes.
func TestBodyThatStallsEndsItsConnection(t *testing.T) {
	const bodyTimeout = 4 * time.Second
	for name, request := range map[string]string{
		"read ahead":         "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n",
		"read by net/http":   "POST /p HTTP/1.0\r\nHost: h\r\nContent-Length: %d\r\n\r\n",
		"awaited by clients": "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\nExpect: 100-continue\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := newTestServer(t, func(c *Config) {
				next := c.Handler
				c.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					data, err := inputlimit.FromContext(r.Context()).ReadAll(r.Body, 1<<20, 1)
					if err != nil {
						http.Error(w, err.Error(), http.StatusRequestTimeout)
						return
					}
					r.Body = io.NopCloser(bytes.NewReader(data))
					next.ServeHTTP(w, r)
				})
				c.Limiter = inputlimit.New(inputlimit.Config{Budget: memorybudget.DefaultConfig(10 << 20), BodyTimeout: bodyTimeout})
			})
			piece := strings.Repeat("x", inputlimit.BodyPiece)
			stalled := dial(t, s.address)
			stalled.send(fmt.Sprintf(request, len(piece)), piece[1:])
			moving := dial(t, s.address)
			moving.send(fmt.Sprintf(request, 5*len(piece)))
			for range 5 {
				time.Sleep(bodyTimeout / 4) // a busy machine may add as much three times over
				moving.send(piece)
			}
			g.Expect(stalled.SetReadDeadline(time.Now().Add(waitLimit))).To(Succeed())
			_, err := io.Copy(io.Discard, stalled)
			g.Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeFalse(), "its connection ends")
			answer, err := io.ReadAll(io.LimitReader(moving.reader, 200))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(answer)).To(ContainSubstring("HTTP/1."), "it is answered")
			g.Expect(string(answer)).To(ContainSubstring("200 OK"), "it is answered")
		})
	}
}

// Guards against a request that runs although there is no room for it, after which a refusal that says "not run" is false.
func TestRequestWithoutRoomIsRefusedAndNotRun(t *testing.T) {
	g := NewWithT(t)
	total := int64(5 * inputlimit.RequestCost / 4)
	s := newTestServer(t, func(c *Config) {
		c.Limiter = inputlimit.New(inputlimit.Config{Budget: memorybudget.DefaultConfig(total + total/10)})
		c.Refuse = func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "full", http.StatusServiceUnavailable) }
	})
	c := dial(t, s.address)
	c.send(get("/a?" + strings.Repeat("x", 200)))
	resp, err := http.ReadResponse(c.reader, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(resp.Close).To(BeTrue())
	g.Expect(s.hasRun("/a")).To(BeFalse())
	g.Eventually(s.config.Limiter.Used, waitLimit).Should(BeZero())
}
