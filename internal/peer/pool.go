package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/basilway/basilway/verdict"
)

// Pool keeps the connections to other daemons. It dials when a call needs a connection,
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

	stop   context.Context
	cancel context.CancelFunc
	duties sync.WaitGroup
}

// remotePeer is what the pool knows of one address.
type remotePeer struct {
	conn     *conn
	dial     *dialAttempt
	failures int
	retryAt  time.Time
}

// dialAttempt is a dial that several calls may wait for.
type dialAttempt struct {
	done chan struct{}
	err  *Error
}

// NewPool returns a pool whose connections serve the handlers of server. Close ends it.
func NewPool(cfg Config, server *Server) *Pool {
	cfg = cfg.withDefaults()
	p := &Pool{
		cfg:    cfg,
		server: server,
		auth:   newAuthenticator(cfg.Keys),
		client: &http.Client{Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: cfg.DialTimeout}).DialContext,
		}},
		started: time.Now(),
		rng:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		peers:   map[string]*remotePeer{},
		conns:   map[*conn]struct{}{},
	}
	p.stop, p.cancel = context.WithCancel(context.Background())
	p.duties.Go(p.watch)
	return p
}

// now returns the monotonic time since the start of the pool, always positive.
func (p *Pool) now() int64 { return int64(time.Since(p.started)) + 1 }

// Call sends a request to the daemon at address and returns its answer. Errors are of
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
		answer, callErr := c.call(ctx, kind, body)
		if !errors.Is(callErr, errDraining) {
			return answer, callErr
		}
		p.forget(c)
	}
}

// Notify sends a frame without an answer. It returns when the frame is queued, so nil
// does not mean that the frame arrives.
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
		p.forget(c)
	}
}

func (p *Pool) checkFrame(ctx context.Context, kind uint8, body []byte) error {
	if ctx.Err() != nil {
		return contextError(ctx, verdict.NotRun)
	}
	if kind == 0 {
		return localError(verdict.NotRun, verdict.ReasonInvalid, "kind 0 is reserved")
	}
	if size := len(body) + frameOverhead; size > p.cfg.MaxFrameBytes {
		return localError(verdict.NotRun, verdict.ReasonInvalid, "frame of %d bytes exceeds %d", size, p.cfg.MaxFrameBytes)
	}
	return nil
}

// Stats returns what the pool has done since its start.
func (p *Pool) Stats() Stats {
	s := p.counters.snapshot()
	p.mu.Lock()
	s.Connections = len(p.conns)
	p.mu.Unlock()
	return s
}

// Close starts no more calls, waits until nothing is in flight or ctx ends, closes the
// connections and waits for the goroutines, including handlers.
func (p *Pool) Close(ctx context.Context) error {
	p.mu.Lock()
	p.closing = true
	p.mu.Unlock()
	var err error
	ticker := time.NewTicker(p.cfg.Tick)
	defer ticker.Stop()
	for err == nil {
		open := p.open()
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
	for _, c := range p.open() {
		c.fail(errConnClosed)
	}
	p.duties.Wait()
	p.client.CloseIdleConnections()
	return err
}

func (p *Pool) open() []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := make([]*conn, 0, len(p.conns))
	for c := range p.conns {
		open = append(open, c)
	}
	return open
}

// watch checks all connections at every tick.
func (p *Pool) watch() {
	ticker := time.NewTicker(p.cfg.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-p.stop.Done():
			return
		case <-ticker.C:
		}
		now := p.now()
		for _, c := range p.open() {
			c.check(now)
		}
		p.prune()
	}
}

// prune drops addresses without a connection whose pause is over.
func (p *Pool) prune() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, r := range p.peers {
		if r.conn == nil && r.dial == nil && time.Since(r.retryAt) > p.cfg.IdleTimeout {
			delete(p.peers, address)
		}
	}
}
