package readahead

import (
	"time"

	"github.com/basilway/basilway/internal/inputlimit"
	"github.com/basilway/basilway/pipeline"
)

// add passes a request to the http.Server.
func (c *conn) add(request []byte, arrived time.Time) {
	var st *stream
	isNew := false
	account, ok := c.capture.take()
	refused := !ok || !account.Grow(inputlimit.RequestCost)
	if refused && !account.GrowToRefuse(inputlimit.RequestCost) {
		account.End()
		c.stop()
		return
	}
	c.apply(func() []pipeline.Action {
		c.receiving = false
		id, actions, ok := c.state.Add(len(request))
		if !ok {
			account.End()
			return actions
		}
		st, isNew = c.takeStream()
		st.exchange = exchange{id: id, busy: true, unread: request, arrived: arrived, request: account, refused: refused}
		c.streams[id] = st
		c.updateReserved()
		c.changed.Broadcast()
		return actions
	})
	if isNew && !c.server.streams.hand(st) {
		c.finish(st, true)
	}
}

// takeStream returns a free stream or a new one. The http.Server closes streams when it is
// closed itself. c.mu must be held.
func (c *conn) takeStream() (st *stream, isNew bool) {
	for n := len(c.free); n > 0; n = len(c.free) {
		st, c.free = c.free[n-1], c.free[:n-1]
		st.idle.End()
		if !st.closed {
			return st, false
		}
	}
	return &stream{conn: c}, true
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
