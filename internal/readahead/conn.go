package readahead

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/basilway/basilway/pipeline"
)

// conn is one client connection.
type conn struct {
	server  *Server
	raw     net.Conn
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

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{server: s, raw: raw, capture: newCapture(raw), state: pipeline.New(s.config.Bounds), streams: map[pipeline.ID]*stream{}}
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
		case errors.Is(err, os.ErrDeadlineExceeded):
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

// maxFreeStreams bounds the streams that a connection keeps for later requests. Each costs the
// buffers and the goroutine of an http.Server connection.
const maxFreeStreams = 2

// awaitRead waits until the next request may be read. It returns false when none will be.
func (c *conn) awaitRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case c.handedOver || c.closed || c.state.Stopping() && !c.state.Ended():
			return false
		case c.state.MayRead() && (c.state.Outstanding() == 0 || !c.server.full()):
			return true
		}
		c.changed.Wait()
	}
}

// awaitFirstByte waits for the first byte of the next request.
func (c *conn) awaitFirstByte() error {
	for {
		if !c.capture.buffered() {
			c.setReadDeadline(time.Now().Add(c.server.config.IdleTimeout))
		}
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
	c.setReadDeadline(arrived.Add(c.server.config.HeaderTimeout()))
}

// abort ends all requests: the client has left, or the connection was idle for too long. A
// client that ends only its own side of the connection counts as gone, as for http.Server,
// because TCP does not tell the two apart.
func (c *conn) abort() {
	c.apply(func() []pipeline.Action { return c.state.Abort() })
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

// add passes a request to the http.Server.
func (c *conn) add(request []byte, arrived time.Time) {
	var st *stream
	isNew := false
	c.apply(func() []pipeline.Action {
		c.receiving = false
		id, actions, ok := c.state.Add(len(request))
		if !ok {
			return actions
		}
		if n := len(c.free); n > 0 {
			st, c.free = c.free[n-1], c.free[:n-1]
		} else {
			st, isNew = &stream{conn: c}, true
		}
		st.exchange = exchange{id: id, busy: true, unread: request, arrived: arrived}
		c.streams[id] = st
		c.updateReserved()
		c.changed.Broadcast()
		return actions
	})
	if isNew && !c.server.streams.hand(st) {
		c.finish(st, true)
	}
}

// offer asks to run the request of a stream and waits for the decision.
func (c *conn) offer(st *stream, mode pipeline.Mode, last bool) bool {
	c.apply(func() []pipeline.Action { return c.state.Offer(st.id, mode, last) })
	c.mu.Lock()
	defer c.mu.Unlock()
	for st.permission == undecided && !st.left {
		c.changed.Wait()
	}
	st.admitted = time.Now()
	return st.permission == granted && !st.left
}

// closesAfter reports whether the response of a stream must announce that the connection
// closes. wanted is set if the handler wants to close it.
func (c *conn) closesAfter(st *stream, wanted bool) bool {
	closes := false
	c.apply(func() []pipeline.Action {
		var actions []pipeline.Action
		if wanted {
			actions = c.state.Stop()
		}
		var more []pipeline.Action
		closes, more = c.state.ClosesAfter(st.id)
		c.announced = c.announced || closes
		return append(actions, more...)
	})
	return closes
}

// finish says that the response of a stream is complete. closes is set if the http.Server has
// closed the stream.
func (c *conn) finish(st *stream, closes bool) {
	c.apply(func() []pipeline.Action {
		if !st.busy {
			return nil
		}
		st.busy = false
		c.announced = c.announced || closes
		return c.state.Finish(st.id, closes)
	})
}

// stop closes the connection once the running requests are answered.
func (c *conn) stop() {
	c.apply(func() []pipeline.Action { return c.state.Stop() })
}

// apply changes the state and executes the actions that follow. If another goroutine executes
// actions, it executes these too, so that they take effect in order.
func (c *conn) apply(change func() []pipeline.Action) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.actions = append(c.actions, change()...)
	if c.executing {
		return
	}
	c.executing = true
	for len(c.actions) > 0 {
		a := c.actions[0]
		c.actions = c.actions[1:]
		c.execute(a)
	}
	c.executing = false
	c.changed.Broadcast()
}

// execute executes one action. c.mu is held on entry and exit, but not during I/O.
func (c *conn) execute(a pipeline.Action) {
	st := c.streams[a.ID]
	switch a.Kind {
	case pipeline.Run:
		st.permission = granted
	case pipeline.Drop:
		if st != nil {
			st.permission, st.left = dropped, true
			delete(c.streams, a.ID)
			c.release(st)
		}
	case pipeline.Write:
		c.flush(st)
	case pipeline.Written:
		c.written(st)
	case pipeline.HandOver:
		c.handedOver = true
		c.closeStreams()
	case pipeline.Close:
		c.closeStreams()
		c.closeAfterResponse()
	}
	c.changed.Broadcast()
}

// flush writes the held part of a response and gives the stream its turn.
func (c *conn) flush(st *stream) {
	for len(st.held) > 0 {
		held := st.held
		st.held = nil
		c.mu.Unlock()
		_, err := c.raw.Write(held)
		c.server.heldBytes.Add(-int64(len(held)))
		c.mu.Lock()
		if err != nil {
			break // the reader of the connection notices that the client has left
		}
	}
	st.turn = true
	c.changed.Broadcast()
}

// written forgets a request whose response has been written whole.
func (c *conn) written(st *stream) {
	delete(c.streams, st.id)
	c.updateReserved()
	wait := Wait{}
	if !st.admitted.IsZero() {
		wait.Unread = st.admitted.Sub(st.arrived)
	}
	if !st.heldSince.IsZero() {
		wait.Held = time.Since(st.heldSince)
	}
	onWritten := st.onWritten
	if len(c.free) < maxFreeStreams && !c.state.Ended() && !st.closed {
		c.free = append(c.free, st)
	} else {
		st.left = true
	}
	if c.state.Outstanding() == 0 && !c.receiving {
		c.report(http.StateIdle)
	}
	c.mu.Unlock()
	if onWritten != nil {
		onWritten(wait)
	}
	if c.server.config.ObserveWait != nil {
		c.server.config.ObserveWait(wait)
	}
	c.mu.Lock()
}

// release gives back the memory that a dropped stream holds.
func (c *conn) release(st *stream) {
	c.server.heldBytes.Add(-int64(len(st.held)))
	st.held = nil
	c.updateReserved()
}

// updateReserved counts the requests read ahead in the server's total.
func (c *conn) updateReserved() {
	c.server.heldBytes.Add(int64(c.state.Bytes() - c.reserved))
	c.reserved = c.state.Bytes()
}

// closeStreams ends the streams that are free.
func (c *conn) closeStreams() {
	for _, st := range c.free {
		st.left = true
	}
	c.free = nil
	c.updateReserved()
}

// closeAfterResponse closes the connection; after a last response, the client's side is read
// for a moment longer.
func (c *conn) closeAfterResponse() {
	c.closed = true
	if tcp, ok := c.raw.(*net.TCPConn); ok && c.announced {
		_ = tcp.CloseWrite() // fails only if the connection is already closed
		_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
		return
	}
	c.raw.Close()
}

// end closes the connection, or hands its rest over to the http.Server.
func (c *conn) end() {
	c.mu.Lock()
	rest := c.handedOver
	c.mu.Unlock()
	tcp, ok := c.raw.(*net.TCPConn)
	if rest && ok && c.server.streams.hand(&restConn{TCPConn: tcp, raw: c.raw, unread: c.capture.rest()}) {
		c.server.remove(c)
		return
	}
	c.raw.Close()
	c.report(http.StateClosed)
	c.server.remove(c)
}

// report passes a change of the connection's state on.
func (c *conn) report(state http.ConnState) {
	if report := c.server.config.ConnState; report != nil {
		report(c.raw, state)
	}
}

// reserve counts held bytes in the server's total. It reports false if they do not fit.
func (s *Server) reserve(n int) bool {
	if s.heldBytes.Add(int64(n)) <= s.config.MaxInstanceBytes {
		return true
	}
	s.heldBytes.Add(-int64(n))
	return false
}

// full reports whether all connections together hold as many bytes as they may.
func (s *Server) full() bool { return s.heldBytes.Load() >= s.config.MaxInstanceBytes }
