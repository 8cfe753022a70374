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

// maxAbandoned bounds the ids of abandoned calls that a connection remembers to tell late
// responses from duplicate ones.
const maxAbandoned = 4096

var errConnClosed = errors.New("connection is closed")

// conn is one connection. Its goroutines are a reader, a writer and one for each inbound
// request.
type conn struct {
	pool   *Pool
	ws     *websocket.Conn
	info   Info
	dialed bool

	out         chan *outFrame
	queuedBytes *semaphore.Weighted
	nextID      atomic.Uint64
	closed      chan struct{}
	// ctx is the parent of the contexts of inbound requests; it ends when the connection
	// is closed.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// finish is closed to make the writer send what is queued and close the connection.
	finish     chan struct{}
	finishOnce sync.Once

	mu             sync.Mutex
	pending        map[uint64]*pendingCall
	abandoned      *simplelru.LRU[uint64, struct{}]
	inboundCancels map[uint64]context.CancelCauseFunc
	inbound        int
	// draining is set when either side has announced that it starts no more calls.
	draining       bool
	goAwaySent     bool
	goAwayReceived bool
	isClosed       bool
	closeCause     error

	// Times as returned by Pool.now, in nanoseconds.
	lastReceived, lastUsed, waitingSince, writingSince, drainingSince atomic.Int64
}

func newConn(p *Pool, ws *websocket.Conn, info Info, dialed bool) *conn {
	abandoned, err := simplelru.NewLRU[uint64, struct{}](maxAbandoned, nil)
	if err != nil {
		panic(err)
	}
	c := &conn{
		pool: p, ws: ws, info: info, dialed: dialed,
		out:            make(chan *outFrame, p.cfg.MaxQueuedFrames),
		queuedBytes:    semaphore.NewWeighted(int64(p.cfg.MaxQueuedBytes)),
		closed:         make(chan struct{}),
		finish:         make(chan struct{}),
		pending:        map[uint64]*pendingCall{},
		abandoned:      abandoned,
		inboundCancels: map[uint64]context.CancelCauseFunc{},
	}
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	now := p.now()
	c.lastReceived.Store(now)
	c.lastUsed.Store(now)
	return c
}

// start starts the reader and the writer; they end when the connection is closed.
func (c *conn) start() {
	c.ws.SetReadLimit(int64(maxBatchBytes + c.pool.cfg.MaxFrameBytes))
	c.pool.wg.Go(c.writeLoop)
	c.pool.wg.Go(c.readLoop)
}

// fail closes the connection immediately and fails all pending calls. The verdict of each
// says whether its request may have been sent.
func (c *conn) fail(cause error) {
	c.mu.Lock()
	if c.isClosed {
		c.mu.Unlock()
		return
	}
	c.isClosed, c.draining, c.closeCause = true, true, cause
	waiting := c.pending
	c.pending = map[uint64]*pendingCall{}
	c.mu.Unlock()
	close(c.closed)
	c.cancel(cause)
	for _, pc := range waiting {
		pc.connLost(cause)
	}
	_ = c.ws.CloseNow()
	c.pool.remove(c)
}

// goAway tells the peer that this side starts no more calls. The connection closes when
// the peer has said the same and nothing is in flight.
func (c *conn) goAway() {
	c.mu.Lock()
	if c.isClosed || c.goAwaySent {
		c.mu.Unlock()
		return
	}
	c.draining, c.goAwaySent = true, true
	c.mu.Unlock()
	c.drainingSince.Store(c.pool.now())
	c.pool.deselectConn(c)
	// Requests of calls that have begun are already queued, so the frame follows them.
	c.pool.wg.Go(func() {
		if err := c.enqueueWait(&frame{Type: frameGoAway}); err == nil {
			c.finishIfDone()
		}
	})
}

// finishIfDone makes the writer close the connection if both sides sent GoAway and nothing
// is in flight.
func (c *conn) finishIfDone() {
	c.mu.Lock()
	done := c.goAwaySent && c.goAwayReceived && len(c.pending) == 0 && c.inbound == 0
	c.mu.Unlock()
	if done {
		c.finishOnce.Do(func() { close(c.finish) })
	}
}

// check closes the connection if it is dead, stuck or idle, and pings a silent peer.
func (c *conn) check(now int64) {
	cfg := &c.pool.cfg
	c.mu.Lock()
	waiting, inbound, draining := len(c.pending), c.inbound, c.draining
	c.mu.Unlock()
	if since := c.writingSince.Load(); since > 0 && time.Duration(now-since) > cfg.WriteTimeout {
		c.fail(errors.New("other side does not read"))
		return
	}
	silentFor := time.Duration(now - max(c.lastReceived.Load(), c.waitingSince.Load()))
	switch {
	case waiting > 0 && silentFor > cfg.DeadTimeout:
		c.fail(errors.New("other side is silent"))
	case waiting > 0 && silentFor > cfg.PingInterval:
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
