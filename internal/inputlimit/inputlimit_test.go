package inputlimit

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/memorybudget"
)

// serve starts an http.Server with a limiter of a total, and returns its address.
func serve(t *testing.T, total int64, handler http.HandlerFunc) (*Limiter, string) {
	return serveWith(t, Config{Budget: memorybudget.DefaultConfig(total)}, handler)
}

// serveWith is serve with all settings of the limiter.
func serveWith(t *testing.T, config Config, handler http.HandlerFunc) (*Limiter, string) {
	t.Helper()
	limiter := New(config)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{
		Handler:     Handler(handler, func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "full", http.StatusServiceUnavailable) }),
		Protocols:   protocols,
		ConnContext: WithConn,
		ConnState: func(c net.Conn, s http.ConnState) {
			if c, ok := c.(*Conn); ok {
				c.SetState(s)
			}
		},
	}
	go func() { _ = server.Serve(limiter.Listen("test", inner)) }()
	t.Cleanup(func() { server.Close() })
	return limiter, inner.Addr().String()
}

// Guards against a header whose size as sent is counted wrong, or whose lines cost nothing.
func TestHeadMeterCountsUpToTheEmptyLine(t *testing.T) {
	for head, lines := range map[string]int{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n":   3,
		"GET / HTTP/1.1\nHost: h\n\n":         3,
		"GET / HTTP/1.1\r\na:\n \r\nb:\n\r\n": 5,
		"GET / HTTP/1.1\r\na:\r\r\n\n":        3,
	} {
		for piece := 1; piece <= len(head); piece++ {
			g := NewWithT(t)
			var m HeadMeter
			cost, sent := int64(0), head+"body\n\n"
			for len(sent) > 0 {
				n := min(piece, len(sent))
				cost += m.Add([]byte(sent[:n]))
				sent = sent[n:]
			}
			g.Expect(m.Done()).To(BeTrue())
			g.Expect(m.Bytes()).To(Equal(len(head)), "%q in pieces of %d", head, piece)
			g.Expect(cost).To(BeEquivalentTo(len(head)*byteCost+lines*lineCost), "%q in pieces of %d", head, piece)
		}
	}
}

// Guards against accounts that do not end with their requests and connections.
func TestAccountsEnd(t *testing.T) {
	g := NewWithT(t)
	var during int64
	var limiter *Limiter
	limiter, address := serve(t, 10<<20, func(w http.ResponseWriter, r *http.Request) {
		data, err := FromContext(r.Context()).ReadAll(r.Body, 1<<20, 1)
		during = limiter.Used()
		fmt.Fprint(w, len(data), err, FromContext(r.Context()).HeadBytes() > 0)
	})
	client := &http.Client{Transport: &http.Transport{}}
	for range 3 {
		resp, err := client.Post("http://"+address, "text/plain", strings.NewReader(strings.Repeat("x", 100_000)))
		g.Expect(err).NotTo(HaveOccurred())
		answer, err := io.ReadAll(resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
		resp.Body.Close()
		g.Expect(string(answer)).To(Equal("100000 <nil> true"))
		g.Expect(during).To(BeNumerically(">", 100_000+RequestCost))
	}
	g.Eventually(limiter.Used).Should(BeEquivalentTo(connCost))
	client.CloseIdleConnections()
	g.Eventually(limiter.Used).Should(BeZero())
}

// Guards against a body for which there is no room and that is read all the same, and against a refusal that is not answered.
func TestBodyWithoutRoomIsRefused(t *testing.T) {
	g := NewWithT(t)
	limiter, address := serve(t, 1<<20, func(w http.ResponseWriter, r *http.Request) {
		if _, err := FromContext(r.Context()).ReadAll(r.Body, 4<<20, 1); errors.Is(err, ErrFull) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	resp, err := http.Post("http://"+address, "text/plain", bytes.NewReader(make([]byte, 2<<20)))
	g.Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Eventually(limiter.Used).Should(BeZero())
}

// Guards against new requests that are refused while others stop just short of their end.
func TestStalledRequestsAreClosedForNewOnes(t *testing.T) {
	g := NewWithT(t)
	limiter, address := serve(t, 1<<20, func(w http.ResponseWriter, r *http.Request) {
		_, _ = FromContext(r.Context()).ReadAll(r.Body, 4<<20, 1)
	})
	for range 20 {
		c, err := net.Dial("tcp", address)
		g.Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("x", 199_999))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Consistently(limiter.Used, 200*time.Millisecond).Should(BeNumerically("<=", 1<<20))
	resp, err := http.Post("http://"+address, "text/plain", bytes.NewReader(make([]byte, 300_000)))
	g.Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
}
