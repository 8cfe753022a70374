package readahead

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/basilway/basilway/internal/hangup"
	"github.com/basilway/basilway/internal/inputlimit"
	"github.com/basilway/basilway/pipeline"
)

// conn is one client connection.
type conn struct {
	server  *Server
	raw     net.Conn
	holder  *inputlimit.Holder
	capture *capture

	mu      sync.Mutex
	changed *sync.Cond // by mu
	state   *pipeline.Conn
	streams map[pipeline.ID]*stream
	free    []*stream
	// actions wait to be executed, in order, by the goroutine that set executing.
	actions   []pipeline.Action
	executing bool
	// reserved is the part of the server's heldBytes that the requests read ahead take.
	reserved int
	// receiving is set while a request is read.
	receiving bool
	// announced is set once a response ends with the connection.
	announced bool
	// handedOver is set once the http.Server is to read the rest of the connection, closed once
	// the connection is closed. All earlier responses have been written then.
	handedOver, closed bool
}

func newConn(s *Server, raw net.Conn, holder *inputlimit.Holder) *conn {
	c := &conn{server: s, raw: raw, holder: holder, state: pipeline.New(s.config.Bounds), streams: map[pipeline.ID]*stream{}}
	c.capture = newCapture(raw, holder, s.config.MaxHeaderBytes, c.setReadDeadline)
	c.changed = sync.NewCond(&c.mu)
	return c
}

// run reads requests until the connection ends.
func (c *conn) run() {
	defer c.end()
	for c.awaitRead() {
		if c.awaitFirstByte() != nil {
			c.abort()
			return
		}
		arrived := time.Now()
		c.beginRequest(arrived)
		request, delimited, err := c.capture.next(func() { c.setReadDeadline(time.Time{}) })
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, errNoRoom):
			c.stop()
		case err != nil:
			c.abort()
			return
		case !delimited:
			c.apply(func() []pipeline.Action { return c.state.HandOverRest() })
		default:
			c.add(request, arrived)
		}
	}
	c.drain()
}

// hangUpInterval is how often a connection that is not read is checked for a client that has left.
const hangUpInterval = 100 * time.Millisecond

// awaitRead waits until the next request may be read. It returns false when none will be.
// Meanwhile it ends the requests of a client that leaves: its close is not read.
func (c *conn) awaitRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	checked := time.Now()
	for {
		switch {
		case c.handedOver || c.closed || c.state.Stopping() && !c.state.Ended():
			return false
		case c.state.MayRead() && (c.state.Outstanding() == 0 || !c.server.full()):
			return true
		}
		if time.Since(checked) >= hangUpInterval {
			checked = time.Now()
			if hangup.HasClosed(c.raw) {
				c.mu.Unlock()
				c.abort()
				c.mu.Lock()
				continue
			}
		}
		wakeup := time.AfterFunc(hangUpInterval, c.wake)
		c.changed.Wait()
		wakeup.Stop()
	}
}

func (c *conn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changed.Broadcast()
}

// awaitFirstByte waits for the first byte of the next request.
func (c *conn) awaitFirstByte() error {
	for {
		c.setReadDeadline(time.Now().Add(c.server.config.IdleTimeout))
		err := c.capture.awaitRequest()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		c.mu.Lock()
		busy := c.state.Outstanding() > 0 && !c.state.Ended()
		c.mu.Unlock()
		if !busy {
			return err
		}
	}
}

// setReadDeadline sets the read deadline, except on a connection that has ended, which has
// its own.
func (c *conn) setReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.state.Ended() {
		_ = c.raw.SetReadDeadline(t) // fails only on a closed connection
	}
}

// beginRequest is called with the first byte of a request.
func (c *conn) beginRequest(arrived time.Time) {
	c.mu.Lock()
	c.receiving = true
	c.report(http.StateActive)
	c.mu.Unlock()
	c.capture.begin()
	c.setReadDeadline(arrived.Add(c.server.config.HeaderTimeout()))
}

// abort ends all requests: the client has left, or the connection was idle for too long. A
// client that ends only its own side of the connection counts as gone, as for http.Server,
// because TCP does not tell the two apart.
func (c *conn) abort() {
	c.apply(func() []pipeline.Action { return c.state.Abort() })
}

// write writes a part of a response to the client. If that fails, also because the client does not read,
// the connection is closed: a client that does not read may leave it open forever.
func (c *conn) write(p []byte) (int, error) {
	c.holder.Sending(true)
	defer c.holder.Sending(false)
	n, err := c.server.config.writePieces(c.raw, p, c.holder)
	if err != nil {
		c.raw.Close()
	}
	return n, err
}

// drain reads and discards what the client still sends while the last responses are written,
// so that it is noticed if the client leaves. After the end it goes on for a moment: closing a
// connection with unread bytes resets it, and the client could lose the last response.
func (c *conn) drain() {
	c.mu.Lock()
	handedOver := c.handedOver
	c.mu.Unlock()
	if handedOver {
		return
	}
	c.setReadDeadline(time.Time{})
	_, _ = io.Copy(io.Discard, c.raw) // ends with the connection or the read deadline
	c.abort()
}

// end closes the connection, or hands its rest over to the http.Server.
func (c *conn) end() {
	c.mu.Lock()
	rest := c.handedOver
	c.mu.Unlock()
	tcp, ok := c.raw.(*net.TCPConn)
	if rest && ok && c.server.streams.hand(&restConn{Conn: c.capture.restConn(tcp), raw: c.raw, config: &c.server.config}) {
		c.server.remove(c)
		return
	}
	c.raw.Close()
	c.holder.Close()
	c.report(http.StateClosed)
	c.server.remove(c)
}

// report passes a change of the connection's state on.
func (c *conn) report(state http.ConnState) {
	if report := c.server.config.ConnState; report != nil {
		report(c.raw, state)
	}
}
