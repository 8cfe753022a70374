package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/basilway/basilway/internal/httpclient"
	"github.com/basilway/basilway/verdict"
)

// Pool holds the connections to other daemons. It dials when a call needs a connection,
// and accepts connections as an http.Handler. It is safe for concurrent use.
type Pool struct {
	cfg      Config
	server   *Server
	auth     authenticator
	client   *http.Client
	counters counters
	started  time.Time

	mu      sync.Mutex
	rng     *rand.Rand
	peers   map[string]*remotePeer
	conns   map[*conn]struct{}
	closing bool

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// remotePeer is the state of the pool for one address.
type remotePeer struct {
	conn     *conn
	dial     *dialAttempt
	failures int
	retryAt  time.Time
}

// dialAttempt is a dial in progress that any number of calls may wait for.
type dialAttempt struct {
	done chan struct{}
	err  *Error
}

// NewPool returns a pool whose connections serve the handlers of server. Close it to stop
// its goroutines.
func NewPool(cfg Config, server *Server) *Pool {
	cfg = cfg.withDefaults()
	p := &Pool{
		cfg:    cfg,
		server: server,
		auth:   newAuthenticator(cfg.Keys),
		client: &http.Client{Transport: httpclient.Transport{Base: &http.Transport{
			DialContext: (&net.Dialer{Timeout: cfg.DialTimeout}).DialContext,
		}}},
		started: time.Now(),
		rng:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		peers:   map[string]*remotePeer{},
		conns:   map[*conn]struct{}{},
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.wg.Go(p.checkLoop)
	return p
}

// now returns the nanoseconds since the start of the pool by the monotonic clock, always
// positive.
func (p *Pool) now() int64 { return int64(time.Since(p.started)) + 1 }

// Call sends a request to the daemon at address and returns its response. Errors are of
// type *Error and say whether the request may have run.
func (p *Pool) Call(ctx context.Context, address string, kind uint8, body []byte) ([]byte, error) {
	if err := p.checkFrame(ctx, kind, body); err != nil {
		return nil, err
	}
	for {
		c, err := p.connTo(ctx, address)
		if err != nil {
			return nil, err
		}
		response, callErr := c.call(ctx, kind, body)
		if !errors.Is(callErr, errDraining) {
			return response, callErr
		}
		p.deselectConn(c)
	}
}

// Notify sends a frame that gets no response. It returns when the frame is queued, so a
// nil error does not mean that the frame arrives. Errors are of type *Error.
func (p *Pool) Notify(ctx context.Context, address string, kind uint8, body []byte) error {
	if err := p.checkFrame(ctx, kind, body); err != nil {
		return err
	}
	for {
		c, err := p.connTo(ctx, address)
		if err != nil {
			return err
		}
		notifyErr := c.notify(kind, body)
		if !errors.Is(notifyErr, errDraining) {
			return notifyErr
		}
		p.deselectConn(c)
	}
}

func (p *Pool) checkFrame(ctx context.Context, kind uint8, body []byte) error {
	if ctx.Err() != nil {
		return contextError(ctx, verdict.NotRun)
	}
	if kind == 0 {
		return localError(verdict.NotRun, verdict.ReasonInvalid, "kind 0 is reserved")
	}
	if size := len(body) + maxFrameOverhead; size > p.cfg.MaxFrameBytes {
		return localError(verdict.NotRun, verdict.ReasonInvalid, "frame of %d bytes exceeds %d", size, p.cfg.MaxFrameBytes)
	}
	return nil
}

// Stats returns the statistics since the start of the pool.
func (p *Pool) Stats() Stats {
	s := p.counters.snapshot()
	p.mu.Lock()
	s.Connections = len(p.conns)
	p.mu.Unlock()
	return s
}

// Close refuses new calls, waits until nothing is in flight or ctx ends, closes the
// connections and waits for all goroutines, including handlers. It returns the error of
// ctx if that ended first.
func (p *Pool) Close(ctx context.Context) error {
	p.mu.Lock()
	p.closing = true
	p.mu.Unlock()
	var err error
	ticker := time.NewTicker(p.cfg.CheckInterval)
	defer ticker.Stop()
	for err == nil {
		open := p.openConns()
		if len(open) == 0 {
			break
		}
		for _, c := range open {
			c.goAway()
		}
		select {
		case <-ctx.Done():
			err = ctx.Err()
		case <-ticker.C:
		}
	}
	p.cancel()
	for _, c := range p.openConns() {
		c.fail(errConnClosed)
	}
	p.wg.Wait()
	p.client.CloseIdleConnections()
	return err
}

func (p *Pool) openConns() []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := make([]*conn, 0, len(p.conns))
	for c := range p.conns {
		open = append(open, c)
	}
	return open
}

// checkLoop checks all connections every CheckInterval.
func (p *Pool) checkLoop() {
	ticker := time.NewTicker(p.cfg.CheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-ticker.C:
		}
		now := p.now()
		for _, c := range p.openConns() {
			c.check(now)
		}
		p.prune()
	}
}

// prune removes addresses without a connection whose dial backoff ended more than
// IdleTimeout ago.
func (p *Pool) prune() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, r := range p.peers {
		if r.conn == nil && r.dial == nil && time.Since(r.retryAt) > p.cfg.IdleTimeout {
			delete(p.peers, address)
		}
	}
}
