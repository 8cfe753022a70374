package readahead

import (
	"net"
	"sync"
)

// streamListener hands streams to the http.Server.
type streamListener struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func newStreamListener() *streamListener {
	return &streamListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *streamListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// hand gives a connection to the http.Server. It reports false if the server has ended.
func (l *streamListener) hand(c net.Conn) bool {
	select {
	case l.accepted <- c:
		return true
	case <-l.closed:
		return false
	}
}

// Close implements net.Listener.
func (l *streamListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *streamListener) Addr() net.Addr { return &net.TCPAddr{} }
