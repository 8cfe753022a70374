package daemon

import (
	"net"
	"sync"
)

// connListener is a listener that returns connections that are already open.
type connListener struct {
	address net.Addr
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

func newConnListener(address net.Addr, conns []net.Conn) *connListener {
	l := &connListener{address: address, conns: make(chan net.Conn, len(conns)), closed: make(chan struct{})}
	for _, c := range conns {
		l.conns <- c
	}
	return l
}

// Accept returns the connections, and then blocks until Close.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	default:
	}
	<-l.closed
	return nil, net.ErrClosed
}

// Close ends Accept.
func (l *connListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the address that the connections were opened to.
func (l *connListener) Addr() net.Addr { return l.address }
