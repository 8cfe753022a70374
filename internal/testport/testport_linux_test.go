package testport

import (
	"net"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a server that cannot listen because another socket got its port before it
// started or while it restarted.
func TestReservedPortIsTakenByNoOtherSocket(t *testing.T) {
	g := NewWithT(t)
	address := Reserve(t)
	for range 2 { // the server starts, and starts again
		local, err := net.ResolveTCPAddr("tcp", address)
		g.Expect(err).NotTo(HaveOccurred())
		target, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		_, err = (&net.Dialer{LocalAddr: local}).Dial("tcp", target.Addr().String())
		g.Expect(err).To(HaveOccurred(), "an outgoing connection took the port")
		g.Expect(target.Close()).To(Succeed())

		server, err := net.Listen("tcp", address)
		g.Expect(err).NotTo(HaveOccurred())
		conn, err := net.Dial("tcp", address)
		g.Expect(err).NotTo(HaveOccurred())
		accepted, err := server.Accept()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(accepted.Close()).To(Succeed())
		g.Expect(conn.Close()).To(Succeed())
		g.Expect(server.Close()).To(Succeed())
	}
}

// Guards against two reservations of one port.
func TestReservedPortsDiffer(t *testing.T) {
	g := NewWithT(t)
	seen := map[string]bool{}
	for range 500 {
		address := Reserve(t)
		g.Expect(seen[address]).To(BeFalse())
		seen[address] = true
	}
	for range 500 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(seen[l.Addr().String()]).To(BeFalse())
		defer l.Close()
	}
}
