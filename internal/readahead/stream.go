package readahead

import (
	"io"
	"net"
	"os"
	"time"

	"github.com/basilway/basilway/internal/inputlimit"
	"github.com/basilway/basilway/pipeline"
)

// permission is the decision on a request whose handler asks to run it.
type permission uint8

const (
	undecided permission = iota
	granted
	dropped
)

// stream is a connection to the http.Server that carries one request at a time. All fields
// but conn are guarded by the client connection's mutex.
type stream struct {
	conn *conn
	exchange
	// left is set once the client has left, closed once the http.Server closed the stream.
	left, closed bool
	// interrupted is set while a Read must not wait.
	interrupted bool
	// idle is the account of the stream while it is free.
	idle *inputlimit.Request
}

// exchange is the state of the request that a stream carries.
type exchange struct {
	id pipeline.ID
	// busy is set until the response is complete.
	busy bool
	// unread are the bytes of the request that the http.Server has not read.
	unread     []byte
	permission permission
	// arrived is when the first byte of the request was read, admitted when its handler ran.
	arrived, admitted time.Time
	// turn is set once the response may be written to the client.
	turn bool
	// held are the bytes of the response that wait for the turn, since heldSince.
	held      []byte
	heldSince time.Time
	// request is the account of the request. refused is set if there is no room to run it.
	request *inputlimit.Request
	refused bool
	// onWritten is called when the whole response has been written.
	onWritten func(Wait)
}

// Read implements net.Conn. The http.Server also reads while the handler runs, to notice that
// the client leaves.
func (st *stream) Read(p []byte) (int, error) {
	c := st.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case st.closed:
			return 0, net.ErrClosed
		case st.interrupted:
			return 0, os.ErrDeadlineExceeded
		case len(st.unread) > 0:
			n := copy(p, st.unread)
			st.unread = st.unread[n:]
			return n, nil
		case st.left:
			return 0, io.EOF
		}
		c.changed.Wait()
	}
}

// Write implements net.Conn. Before the turn of the response it keeps the bytes within bounds
// and blocks beyond them.
func (st *stream) Write(p []byte) (int, error) {
	c := st.conn
	c.mu.Lock()
	for !st.turn && !st.left && !st.closed {
		if st.heldSince.IsZero() {
			st.heldSince = time.Now()
		}
		if len(st.held)+len(p) <= c.server.config.MaxHeldBytes && c.server.reserve(st.request, len(p)) {
			st.held = append(st.held, p...)
			c.mu.Unlock()
			return len(p), nil
		}
		c.changed.Wait()
	}
	gone := st.left || st.closed
	c.mu.Unlock()
	if gone {
		return 0, net.ErrClosed
	}
	return c.write(p)
}

// Close implements net.Conn.
func (st *stream) Close() error {
	c := st.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	st.closed = true
	c.changed.Broadcast()
	return nil
}

// SetReadDeadline implements net.Conn. Only a deadline in the past has an effect, by which
// the http.Server ends a pending Read: the stream carries whole requests, and time limits
// apply to the client connection.
func (st *stream) SetReadDeadline(t time.Time) error {
	c := st.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	st.interrupted = !t.IsZero() && t.Before(time.Now())
	c.changed.Broadcast()
	return nil
}

// SetWriteDeadline implements net.Conn; it has no effect.
func (st *stream) SetWriteDeadline(time.Time) error { return nil }

// SetDeadline implements net.Conn.
func (st *stream) SetDeadline(t time.Time) error { return st.SetReadDeadline(t) }

// LocalAddr implements net.Conn.
func (st *stream) LocalAddr() net.Addr { return st.conn.raw.LocalAddr() }

// RemoteAddr implements net.Conn.
func (st *stream) RemoteAddr() net.Addr { return st.conn.raw.RemoteAddr() }
