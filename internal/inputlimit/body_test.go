package inputlimit

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against one large body that arrives in small parts and takes the room of ordinary requests.
func TestReservedPartIsForConnectionsThatHoldLittle(t *testing.T) {
	g := NewWithT(t)
	leave, refused := make(chan struct{}), make(chan error, 1)
	limiter, address := serve(t, 4<<20, func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			_, err := io.Copy(io.Discard, FromContext(r.Context()).ChargeBody(r.Body, 4, ErrFull))
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
	g.Eventually(refused).Should(Receive(MatchError(ErrFull)))
	g.Expect(limiter.Used()).To(BeNumerically("<=", 4<<20/100*70))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	resp, err := client.Get("http://" + address)
	g.Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
}
