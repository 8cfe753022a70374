package inputlimit

import (
	"bytes"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// Conn is a connection of an http.Server whose requests are accounted for. http.Server reads headers
// itself, so what they cost is counted as they pass; bodies are accounted for by what reads them.
type Conn struct {
	*net.TCPConn
	holder *Holder
	// unread are bytes that were received before.
	unread []byte

	mu      sync.Mutex
	request *Request
	head    HeadMeter
	// framed is set on a connection by HTTP/2, whose requests are accounted for by Handler.
	framed bool
}

// http2Preface is how a connection by HTTP/2 begins.
var http2Preface = []byte("PRI * HTTP/2.0\r\n")

// NewConn returns a connection on which nothing has been received.
func NewConn(tcp *net.TCPConn, holder *Holder) *Conn {
	return NewRestConn(tcp, holder, holder.NewRequest(), HeadMeter{}, nil)
}

// NewRestConn returns a connection that begins with bytes that were received before. They belong to
// request, which accounts for them, and whose header was counted by head.
func NewRestConn(tcp *net.TCPConn, holder *Holder, request *Request, head HeadMeter, unread []byte) *Conn {
	c := &Conn{TCPConn: tcp, holder: holder, unread: unread, request: request, head: head}
	c.request.deadlines(tcp)
	return c
}

// Read implements net.Conn. If there is no room for what was received of a header, the connection is
// closed: nothing of the request has run.
func (c *Conn) Read(p []byte) (int, error) {
	if len(c.unread) > 0 {
		n := copy(p, c.unread)
		c.unread = c.unread[n:]
		return n, nil
	}
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.holder.Moved()
	}
	c.mu.Lock()
	c.framed = c.framed || bytes.HasPrefix(p[:n], http2Preface)
	request, cost := c.request, int64(0)
	if !c.framed {
		cost = c.head.Add(p[:n])
	}
	c.mu.Unlock()
	if !request.Grow(cost) {
		c.Close()
		return 0, os.ErrDeadlineExceeded // http.Server answers nothing and logs nothing
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.holder.Sending(true)
	defer c.holder.Sending(false)
	return c.TCPConn.Write(p)
}

// SetState is called with the states of the connection in its http.Server.
func (c *Conn) SetState(state http.ConnState) {
	switch state {
	case http.StateIdle:
		c.mu.Lock()
		ended := c.request
		c.request, c.head = c.holder.NewRequest(), HeadMeter{}
		c.request.deadlines(c.TCPConn)
		c.mu.Unlock()
		ended.End()
		c.holder.Moved()
	case http.StateClosed, http.StateHijacked:
		c.holder.Close()
	}
}

// current returns the account of the request whose header was read last.
func (c *Conn) current() *Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request.SetHead(c.head)
	return c.request
}

// deadliner sets the read deadline of a connection.
type deadliner interface{ SetReadDeadline(time.Time) error }
