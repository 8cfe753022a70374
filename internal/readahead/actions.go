package readahead

import (
	"net"
	"net/http"
	"time"

	"github.com/basilway/basilway/pipeline"
)

// maxFreeStreams bounds the streams that a connection keeps for later requests. Each costs the
// buffers and the goroutine of an http.Server connection.
const maxFreeStreams = 2

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
			st.request.End()
			c.updateReserved()
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
		_, err := c.write(held)
		c.server.heldBytes.Add(-int64(len(held)))
		st.request.Shrink(int64(len(held)) * receivedCost)
		c.mu.Lock()
		if err != nil {
			c.release(st)
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
	st.request.End()
	if len(c.free) < maxFreeStreams && !c.state.Ended() && !st.closed && c.keepIdle(st) {
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

// freeStreamCost is what a free stream costs: the buffers and the goroutine of its http.Server connection.
const freeStreamCost = 16 << 10

// keepIdle accounts for a stream that is kept for later requests. It reports false if there is no room.
func (c *conn) keepIdle(st *stream) bool {
	st.idle = c.holder.NewRequest()
	return !c.server.config.Limiter.Full() && st.idle.TryGrow(freeStreamCost)
}

// release drops the held part of a response.
func (c *conn) release(st *stream) {
	c.server.heldBytes.Add(-int64(len(st.held)))
	st.held = nil
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
		st.idle.End()
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
