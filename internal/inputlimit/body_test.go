package inputlimit

import (
	"bufio"
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

// waitLimit is how long tests wait for what happens at once on an idle machine.
const waitLimit = 10 * time.Second

// Guards against one large body that arrives in small parts and takes the room of ordinary requests.
func TestReservedPartIsForConnectionsThatHoldLittle(t *testing.T) {
	g := NewWithT(t)
	leave, refused := make(chan struct{}), make(chan error, 1)
	limiter, address := serve(t, 4<<20, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			ChargeBody(w, r, Charge{Factor: 4, Full: ErrFull})
			_, err := io.Copy(io.Discard, r.Body)
			refused <- err
			<-leave
		}
	})
	defer close(leave)
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	go func() {
		_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 8<<20, strings.Repeat("x", 4<<20))
	}()
	g.Eventually(refused, waitLimit).Should(Receive(MatchError(ErrFull)))
	g.Expect(limiter.Used()).To(BeNumerically("<=", 4<<20/100*70))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitLimit}
	resp, err := client.Get("http://" + address)
	g.Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
}

// Guards against a refused call that keeps what it holds, and its caller without an answer, until the rest of its body
// arrives. Handlers of connect-go close the body before they return.
func TestRefusedCallDoesNotAwaitTheRestOfItsBody(t *testing.T) {
	g := NewWithT(t)
	limiter, address := serve(t, 1<<20, func(w http.ResponseWriter, r *http.Request) {
		ChargeBody(w, r, Charge{Factor: 4, Full: ErrFull})
		defer r.Body.Close()
		if _, err := io.Copy(io.Discard, r.Body); errors.Is(err, ErrFull) {
			w.WriteHeader(http.StatusTooManyRequests)
		}
	})
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	size := 300 << 10
	_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", size, strings.Repeat("x", size))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(conn.SetReadDeadline(time.Now().Add(waitLimit))).To(Succeed())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusTooManyRequests))
	g.Expect(resp.Close).To(BeTrue(), "the rest of the body is not read")
	g.Eventually(limiter.Used, waitLimit).Should(BeNumerically("<=", connCost))
}

// Guards against a call that was answered early and can't be closed to make room while the rest of its body is awaited.
func TestCallWhoseBodyIsClosedEarlyMakesRoom(t *testing.T) {
	g := NewWithT(t)
	_, address := serve(t, 1<<20, func(w http.ResponseWriter, r *http.Request) {
		ChargeBody(w, r, Charge{Factor: 4, Full: ErrFull})
		_, err := io.CopyN(io.Discard, r.Body, 100<<10)
		r.Body.Close()
		if err != nil {
			w.WriteHeader(http.StatusTooManyRequests)
		}
	})
	stalled, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	defer stalled.Close()
	_, err = fmt.Fprintf(stalled, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", 120<<10, strings.Repeat("x", 110<<10))
	g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(100 * time.Millisecond) // the handler awaits the rest
	resp, err := http.Post("http://"+address, "text/plain", strings.NewReader(strings.Repeat("x", 110<<10)))
	g.Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	g.Expect(resp.Close).To(BeFalse(), "its body was read")
}

// Guards against a caller that stops in the middle of its call and keeps its connection or stream for good, and against a call
// that is ended although it goes on or although only its handler takes long.
func TestCallThatStallsEnds(t *testing.T) {
	const timeout = 2 * time.Second
	stalled := errors.New("stalled")
	limiter, address := serveWith(t, Config{Budget: memorybudget.DefaultConfig(16 << 20), BodyTimeout: timeout}, func(w http.ResponseWriter, r *http.Request) {
		ChargeBody(w, r, Charge{Factor: 4, Full: ErrFull, Stalled: func() error { return stalled }})
		defer r.Body.Close()
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			http.Error(w, err.Error(), http.StatusRequestTimeout)
			return
		}
		select {
		case <-r.Context().Done():
		case <-time.After(2 * timeout):
			fmt.Fprint(w, "whole")
		}
	})
	http1, http2 := new(http.Protocols), new(http.Protocols)
	http1.SetHTTP1(true)
	http2.SetUnencryptedHTTP2(true)
	t.Run("calls", func(t *testing.T) {
		for name, protocols := range map[string]*http.Protocols{"HTTP/1.1": http1, "HTTP/2": http2} {
			for answer, pieces := range map[string]int{"whole": 20, "stalled": 1} {
				t.Run(name+" "+answer, func(t *testing.T) {
					t.Parallel()
					g := NewWithT(t)
					client := &http.Client{Transport: &http.Transport{Protocols: protocols}, Timeout: 30 * time.Second}
					defer client.CloseIdleConnections()
					reader, writer := io.Pipe()
					defer reader.Close()
					go func() {
						for range pieces { // 20 take twice the time for one
							_, _ = writer.Write(make([]byte, BodyPiece))
							time.Sleep(2 * timeout / 20)
						}
						if answer == "stalled" {
							time.Sleep(5 * timeout)
						}
						writer.Close()
					}()
					resp, err := client.Post("http://"+address, "text/plain", reader)
					g.Expect(err).NotTo(HaveOccurred())
					defer resp.Body.Close()
					got, err := io.ReadAll(resp.Body)
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(strings.TrimSpace(string(got))).To(Equal(answer))
				})
			}
		}
	})
	NewWithT(t).Eventually(limiter.Used, waitLimit).Should(BeZero())
}
