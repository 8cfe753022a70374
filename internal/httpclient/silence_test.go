package httpclient

import (
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a silent connection that is found later than configured: the system rounds the times
// of keep-alive probes up to whole seconds.
func TestSilentConnectionIsFoundInTime(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	for _, limit := range []time.Duration{2 * time.Second, 4 * time.Second} {
		p := NewPool(l.Addr().String(), Config{DialTimeout: time.Second, SilenceTimeout: limit})
		c, err := p.take(t.Context(), "")
		g.Expect(err).NotTo(HaveOccurred())
		raw, err := c.Conn.(syscall.Conn).SyscallConn()
		g.Expect(err).NotTo(HaveOccurred())
		option := func(name int) (value int) {
			g.Expect(raw.Control(func(fd uintptr) {
				value, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, name)
			})).To(Succeed())
			g.Expect(err).NotTo(HaveOccurred())
			return value
		}
		found := option(syscall.TCP_KEEPIDLE) + option(syscall.TCP_KEEPINTVL)*option(syscall.TCP_KEEPCNT)
		g.Expect(time.Duration(found) * time.Second).To(BeNumerically("<=", limit))
		c.Close()
	}
}
