package peer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"golang.org/x/sync/semaphore"
)

// maxAbandoned bounds the memory of calls that were given up, by which a late answer is
// told from a duplicate one.
const maxAbandoned = 4096

var errConnClosed = errors.New("connection is closed")

// conn is one connection. Three kinds of goroutine use it: a reader, a writer and one
// for each inbound request.
type conn struct {
	pool   *Pool
	ws     *websocket.Conn
	info   Info
	dialed bool

	out    chan *outFrame
	queued *semaphore.Weighted
	nextID atomic.Uint64
	closed chan struct{}
	// lost ends the contexts of inbound requests.
	lost       context.Context
	cancelLost context.CancelCauseFunc
	// finish is closed when the writer may close the connection after its queue.
	finish     chan struct{}
	finishOnce sync.Once

	mu        sync.Mutex
	pending   map[uint64]*call
	abandoned *simplelru.LRU[uint64, struct{}]
	cancels   map[uint64]context.CancelCauseFunc
	inbound   int
	// draining is set when either side said that it starts no more calls.
	draining   bool
	sentAway   bool
	gotAway    bool
	isClosed   bool
	closeCause error

	// Times in nanoseconds since the start of the pool.
	lastReceived, lastUsed, waitingSince, writingSince, drainingSince atomic.Int64
}

func newConn(p *Pool, ws *websocket.Conn, info Info, dialed bool) *conn {
	abandoned, err := simplelru.NewLRU[uint64, struct{}](maxAbandoned, nil)
	if err != nil {
		panic(err)
	}
	c := &conn{
		pool: p, ws: ws, info: info, dialed: dialed,
		out:       make(chan *outFrame, p.cfg.QueueFrames),
		queued:    semaphore.NewWeighted(int64(p.cfg.MaxQueuedBytes)),
		closed:    make(chan struct{}),
		finish:    make(chan struct{}),
		pending:   map[uint64]*call{},
		abandoned: abandoned,
		cancels:   map[uint64]context.CancelCauseFunc{},
	}
	c.lost, c.cancelLost = context.WithCancelCause(context.Background())
	now := p.now()
	c.lastReceived.Store(now)
	c.lastUsed.Store(now)
	return c
}

// start runs the reader and the writer; they end when the connection is closed.
func (c *conn) start() {
	c.ws.SetReadLimit(int64(maxBatchBytes + c.pool.cfg.MaxFrameBytes))
	c.pool.duties.Go(c.write)
	c.pool.duties.Go(c.read)
}

// fail closes the connection at once. Every waiting call learns whether its frame may
// have been sent.
func (c *conn) fail(cause error) {
	c.mu.Lock()
	if c.isClosed {
		c.mu.Unlock()
		return
	}
	c.isClosed, c.draining, c.closeCause = true, true, cause
	waiting := c.pending
	c.pending = map[uint64]*call{}
	c.mu.Unlock()
	close(c.closed)
	c.cancelLost(cause)
	for _, w := range waiting {
		w.lose(cause)
	}
	_ = c.ws.CloseNow()
	c.pool.remove(c)
}

// goAway tells the other side that no more calls start here. The connection closes when
// the other side said the same and nothing is in flight.
func (c *conn) goAway() {
	c.mu.Lock()
	if c.isClosed || c.sentAway {
		c.mu.Unlock()
		return
	}
	c.draining, c.sentAway = true, true
	c.mu.Unlock()
	c.drainingSince.Store(c.pool.now())
	c.pool.forget(c)
	// Every call that began is in the queue already, so the frame comes after it.
	c.pool.duties.Go(func() {
		if err := c.enqueueWait(&frame{Type: frameGoAway}); err == nil {
			c.finishIfDone()
		}
	})
}

// finishIfDone lets the writer close the connection if nothing is in flight.
func (c *conn) finishIfDone() {
	c.mu.Lock()
	done := c.sentAway && c.gotAway && len(c.pending) == 0 && c.inbound == 0
	c.mu.Unlock()
	if done {
		c.finishOnce.Do(func() { close(c.finish) })
	}
}

// check closes the connection when it is dead, stuck or idle, and probes a silent one.
func (c *conn) check(now int64) {
	cfg := &c.pool.cfg
	c.mu.Lock()
	waiting, inbound, draining := len(c.pending), c.inbound, c.draining
	c.mu.Unlock()
	if since := c.writingSince.Load(); since > 0 && time.Duration(now-since) > cfg.WriteTimeout {
		c.fail(errors.New("other side does not read"))
		return
	}
	silent := time.Duration(now - max(c.lastReceived.Load(), c.waitingSince.Load()))
	switch {
	case waiting > 0 && silent > cfg.DeadAfter:
		c.fail(errors.New("other side is silent"))
	case waiting > 0 && silent > cfg.PingInterval:
		_ = c.enqueue(&frame{Type: framePing})
	case draining:
		c.finishIfDone()
		if since := c.drainingSince.Load(); waiting == 0 && inbound == 0 && since > 0 && time.Duration(now-since) > cfg.WriteTimeout {
			c.fail(errors.New("other side does not confirm the end"))
		}
	case waiting == 0 && inbound == 0 && time.Duration(now-c.lastUsed.Load()) > cfg.IdleTimeout:
		c.goAway()
	}
}
