package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"go.uber.org/zap"

	"github.com/basilway/basilway/verdict"
)

// connTo returns a connection to address. It dials if there is none, and fails immediately
// during the backoff after a failed dial. The verdict of all its errors is NotRun.
func (p *Pool) connTo(ctx context.Context, address string) (*conn, error) {
	for {
		p.mu.Lock()
		if p.closing {
			p.mu.Unlock()
			return nil, localError(verdict.NotRun, verdict.ReasonDraining, "this daemon is stopping")
		}
		r := p.peer(address)
		if r.conn != nil {
			defer p.mu.Unlock()
			return r.conn, nil
		}
		attempt := r.dial
		if attempt == nil {
			if pause := time.Until(r.retryAt); pause > 0 {
				p.mu.Unlock()
				return nil, unreachable(address, "the last dial failed", pause)
			}
			attempt = &dialAttempt{done: make(chan struct{})}
			r.dial = attempt
			p.wg.Go(func() { p.dial(address, attempt) })
		}
		p.mu.Unlock()
		select {
		case <-attempt.done:
			if attempt.err != nil {
				return nil, attempt.err
			}
		case <-ctx.Done():
			return nil, contextError(ctx, verdict.NotRun)
		}
	}
}

func unreachable(address, reason string, retryAfter time.Duration) *Error {
	return &Error{Err: verdict.New(verdict.NotRun, verdict.ReasonPeerLost, "no connection to %s: %s", address, reason).WithRetryAfter(retryAfter)}
}

// peer returns the entry of address and adds it if needed. The caller holds p.mu.
func (p *Pool) peer(address string) *remotePeer {
	r := p.peers[address]
	if r == nil {
		r = &remotePeer{}
		p.peers[address] = r
	}
	return r
}

// dial opens a connection on behalf of all calls that wait for attempt.
func (p *Pool) dial(address string, attempt *dialAttempt) {
	ctx, cancel := context.WithTimeout(p.ctx, p.cfg.DialTimeout)
	defer cancel()
	p.counters.dials.Add(1)
	ws, res, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{
		HTTPClient:   p.client,
		HTTPHeader:   handshakeHeader(p.cfg),
		Subprotocols: []string{subprotocol},
	})
	var c *conn
	if err == nil {
		info := infoFromHeader(res.Header, address)
		info.Address = address
		c = newConn(p, ws, info, true)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	defer close(attempt.done)
	r := p.peer(address)
	r.dial = nil
	if err != nil {
		p.counters.dialFailures.Add(1)
		if r.conn != nil {
			// The peer has connected in the meantime.
			return
		}
		r.failures++
		pause := backoff(r.failures, p.cfg.MinBackoff, p.cfg.MaxBackoff, p.rng)
		r.retryAt = time.Now().Add(pause)
		attempt.err = unreachable(address, err.Error(), pause)
		return
	}
	r.failures, r.retryAt = 0, time.Time{}
	if p.closing {
		attempt.err = localError(verdict.NotRun, verdict.ReasonDraining, "this daemon is stopping")
		_ = ws.CloseNow()
		return
	}
	p.conns[c] = struct{}{}
	p.selectConn(r, c)
	c.start()
}

// selectConn decides whether c carries new calls. If both sides dial at the same time,
// both select the connection dialed by the lower address, and the other one becomes idle.
// The caller holds p.mu.
func (p *Pool) selectConn(r *remotePeer, c *conn) {
	if r.conn == nil {
		r.conn = c
		return
	}
	if r.conn.dialed == c.dialed {
		// The same side dialed again, so it no longer uses its old connection.
		r.conn = c
		return
	}
	if c.dialed == (p.cfg.Address < c.info.Address) {
		r.conn = c
	}
}

// deselectConn makes new calls use a connection other than c.
func (p *Pool) deselectConn(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.peers[c.info.Address]; r != nil && r.conn == c {
		r.conn = nil
	}
}

// remove removes a closed connection from the pool.
func (p *Pool) remove(c *conn) {
	p.deselectConn(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// ServeHTTP accepts a connection from another daemon.
func (p *Pool) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !p.auth.allows(r) {
		p.counters.rejected.Add(1)
		p.cfg.Logger.Warn("rejected a peer without a valid key", zap.String("remote", r.RemoteAddr))
		http.Error(w, "peer key is not valid", http.StatusUnauthorized)
		return
	}
	p.mu.Lock()
	closing := p.closing
	p.mu.Unlock()
	if closing {
		http.Error(w, "daemon is stopping", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(headerAddress, p.cfg.Address)
	w.Header().Set(headerIdentity, p.cfg.Identity)
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{subprotocol}})
	if err != nil {
		p.cfg.Logger.Debug("peer handshake failed", zap.Error(err))
		return
	}
	c := newConn(p, ws, infoFromHeader(r.Header, r.RemoteAddr), false)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closing {
		_ = ws.CloseNow()
		return
	}
	p.counters.accepts.Add(1)
	p.conns[c] = struct{}{}
	if c.info.Address != "" {
		p.selectConn(p.peer(c.info.Address), c)
	}
	c.start()
}
