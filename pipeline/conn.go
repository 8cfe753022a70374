package pipeline

import "slices"

type state uint8

const (
	read state = iota
	offered
	running
	answered
)

// request is a request whose response has not been written whole.
type request struct {
	id    ID
	size  int
	state state
	mode  Mode
	// last is set if the client closes after this request.
	last bool
	// closes is set if the response ends with the connection.
	closes bool
}

// Conn decides for one connection. It is not safe for concurrent use.
type Conn struct {
	config   Config
	nextID   ID
	requests []request
	bytes    int
	// writing is the request that may write; 0 if there is none.
	writing ID
	// stopping is set once the connection is to close after the requests that run.
	stopping bool
	// handOver is set once the rest of the connection is for another reader.
	handOver bool
	// ended is set once HandOver or Close was returned.
	ended bool
}

// New returns the state of a connection without requests.
func New(config Config) *Conn { return &Conn{config: config} }

// Outstanding returns the number of requests whose response has not been written whole.
func (c *Conn) Outstanding() int { return len(c.requests) }

// Bytes returns the size of those requests.
func (c *Conn) Bytes() int { return c.bytes }

// MayRead reports whether to read the next request.
func (c *Conn) MayRead() bool {
	return !c.stopping && !c.handOver && !c.ended && len(c.requests) < c.config.MaxRequests &&
		(len(c.requests) == 0 || c.bytes < c.config.MaxBytes)
}

// Stopping reports whether no further request will be read.
func (c *Conn) Stopping() bool { return c.stopping || c.ended }

// Ended reports whether HandOver or Close was returned.
func (c *Conn) Ended() bool { return c.ended }

// Add adds a request of the given size that was read whole. If the connection is to close,
// the request is ignored as not read, and ok is false.
func (c *Conn) Add(size int) (id ID, actions []Action, ok bool) {
	if c.stopping || c.handOver || c.ended {
		return 0, nil, false
	}
	c.nextID++
	c.bytes += size
	c.requests = append(c.requests, request{id: c.nextID, size: size})
	return c.nextID, c.advance(nil), true
}

// Offer says that the handler of a request asks to run it. last is set if the client closes
// the connection after this request.
func (c *Conn) Offer(id ID, mode Mode, last bool) []Action {
	i := c.index(id)
	if i < 0 || c.requests[i].state != read {
		return []Action{{Drop, id}}
	}
	r := &c.requests[i]
	r.state, r.mode, r.last = offered, mode, last
	return c.advance(nil)
}

// ClosesAfter reports whether the response to a running request must announce that the
// connection closes. It is asked just before the header of the response is written. From then
// on, nothing behind such a response runs.
func (c *Conn) ClosesAfter(id ID) (bool, []Action) {
	i := c.index(id)
	if i < 0 {
		return true, nil
	}
	if !c.stopping && !c.requests[i].last {
		return false, nil
	}
	for _, later := range c.requests[i+1:] {
		if later.state == running || later.state == answered {
			return false, nil // a later response announces it
		}
	}
	c.stopping = true
	return true, c.advance(c.dropBehind(i))
}

// Finish says that the response to a request is complete. closes is set if it ends with the
// connection, or if the handler gave up.
func (c *Conn) Finish(id ID, closes bool) []Action {
	i := c.index(id)
	if i < 0 {
		return nil
	}
	c.requests[i].state, c.requests[i].closes = answered, closes
	return c.advance(nil)
}

// Stop closes the connection once the running requests are answered. Requests that were read
// and do not run yet count as not read, except for one that is first in order.
func (c *Conn) Stop() []Action {
	if c.ended || c.stopping {
		return nil
	}
	c.stopping = true
	last := 0
	for i, r := range c.requests {
		if r.state == running || r.state == answered {
			last = i
		}
	}
	return c.advance(c.dropBehind(last))
}

// HandOverRest says that the next bytes are not a request that can be read ahead. The rest of
// the connection is handed over once all earlier requests are answered.
func (c *Conn) HandOverRest() []Action {
	c.handOver = true
	return c.advance(nil)
}

// Abort says that the client has left: nothing can be answered.
func (c *Conn) Abort() []Action {
	if c.ended {
		return nil
	}
	return c.end(nil)
}

func (c *Conn) index(id ID) int {
	return slices.IndexFunc(c.requests, func(r request) bool { return r.id == id })
}

// dropBehind drops the requests behind index i, which do not run.
func (c *Conn) dropBehind(i int) []Action {
	var out []Action
	for len(c.requests) > i+1 {
		r := c.requests[len(c.requests)-1]
		c.requests = c.requests[:len(c.requests)-1]
		c.bytes -= r.size
		out = append(out, Action{Drop, r.id})
	}
	return out
}

// end drops all requests and closes the connection.
func (c *Conn) end(out []Action) []Action {
	out = append(out, c.dropBehind(-1)...)
	c.ended = true
	return append(out, Action{Kind: Close})
}

// advance returns the actions that follow from the present state, after those in out.
func (c *Conn) advance(out []Action) []Action {
	if c.ended {
		return out
	}
	for len(c.requests) > 0 {
		first := c.requests[0]
		if c.writing != first.id {
			c.writing = first.id
			out = append(out, Action{Write, first.id})
		}
		if first.state != answered {
			break
		}
		out = append(out, Action{Written, first.id})
		c.requests = c.requests[1:]
		c.bytes -= first.size
		if first.closes {
			return c.end(out)
		}
	}
	out = c.startRequests(out)
	switch {
	case len(c.requests) > 0:
	case c.stopping:
		return c.end(out)
	case c.handOver:
		c.ended = true
		return append(out, Action{Kind: HandOver})
	}
	return out
}

// startRequests starts the offered requests that may run now.
func (c *Conn) startRequests(out []Action) []Action {
	busy := 0
	for i := range c.requests {
		r := &c.requests[i]
		switch r.state {
		case read:
			return out // whether the requests behind it may run depends on its headers
		case offered:
			if r.mode == Alone && i > 0 || busy >= c.config.MaxRunning {
				return out
			}
			r.state = running
			out = append(out, Action{Run, r.id})
		}
		if r.state == running {
			busy++
		}
		if r.last || r.closes || r.mode == Alone && r.state == running {
			return out
		}
	}
	return out
}
