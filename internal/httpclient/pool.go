package httpclient

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// maxStrayResponseBytes limits the body of a skipped response to another request.
const maxStrayResponseBytes = 1 << 20

// maxStrayResponses limits how many responses to other requests are skipped on a
// connection.
const maxStrayResponses = 4

const (
	// maxResponseHeadBytes limits what is read before the body of a response: its status line, its
	// header and interim responses. It is the limit for headers of requests.
	maxResponseHeadBytes = 64 << 10
	// maxInterimResponses limits the interim responses before a response.
	maxInterimResponses = 16
)

// Bounds of a BoundError.
const (
	boundHead    = "head"
	boundInterim = "interim"
)

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT.
const tcpUserTimeout = 0x12

// Pool keeps connections to one address. It is safe for concurrent use.
type Pool struct {
	address string
	config  Config
	dialer  net.Dialer

	mu     sync.Mutex
	idle   []*conn // the most recently used one is last
	closed bool
	stats  Stats
}

// Stats counts dialed and reused connections and skipped responses to other requests.
type Stats struct {
	Dials, Reused, StrayResponses uint64
}

// NewPool returns a pool without connections.
func NewPool(address string, config Config) *Pool {
	p := &Pool{address: address, config: config}
	p.dialer = net.Dialer{
		Timeout:         config.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: unansweredProbes(config.SilenceTimeout)},
	}
	if config.UserTimeout > 0 {
		p.dialer.Control = func(_, _ string, raw syscall.RawConn) error {
			var err error
			controlErr := raw.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(config.UserTimeout.Milliseconds()))
			})
			return errors.Join(controlErr, err)
		}
	}
	return p
}

// probeInterval is the time after which an unused connection is probed, and between two probes. The
// system counts it in whole seconds.
const probeInterval = time.Second

// defaultSilenceTimeout applies if a Config has none.
const defaultSilenceTimeout = 4 * time.Second

// unansweredProbes returns after how many unanswered probes a silent connection is closed.
func unansweredProbes(silenceTimeout time.Duration) int {
	if silenceTimeout == 0 {
		silenceTimeout = defaultSilenceTimeout
	}
	return max(int(silenceTimeout/probeInterval)-1, 1)
}

// Address returns the address that the pool connects to.
func (p *Pool) Address() string { return p.address }

// Stats returns the counters.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// Do sends a request and returns its response, whose body the caller must close.
// beforeSend, if not nil, is called just before the first byte is written; if it returns an
// error, nothing is sent. When ctx ends, the connection is reset, and what the system has not sent yet is dropped. Errors are of type
// *Error.
func (p *Pool) Do(ctx context.Context, e Exchange, beforeSend func() error) (*http.Response, error) {
	c, err := p.take(ctx, e.ID)
	if err != nil {
		return nil, &Error{Refused: errors.Is(err, syscall.ECONNREFUSED), Err: err}
	}
	if beforeSend != nil {
		if err := beforeSend(); err != nil {
			p.put(c, p.config.IdleTimeout)
			return nil, &Error{Err: err}
		}
	}
	if err := context.Cause(ctx); err != nil {
		p.put(c, p.config.IdleTimeout)
		return nil, &Error{Err: err}
	}
	c.count = e.Count
	stop := context.AfterFunc(ctx, c.abort)
	resp, stray, err := p.exchange(c, e)
	if err != nil {
		stop()
		c.Close()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, classify(err)
	}
	resp.Body = &trackedBody{ReadCloser: resp.Body, checkEnd: func() error { return c.checkEnd(resp) }, finish: func(complete bool) {
		active := stop()
		if !active || !complete || stray || resp.Close || !c.written() || c.reader.Buffered() > 0 {
			c.Close()
			return
		}
		p.put(c, keepAliveTimeout(resp.Header, p.config.IdleTimeout))
	}}
	return resp, nil
}

// exchange sends e and reads responses until one has its id. stray is true if others were
// skipped before it.
func (p *Pool) exchange(c *conn, e Exchange) (resp *http.Response, stray bool, err error) {
	if err := c.send(e); err != nil {
		return nil, false, err
	}
	for range maxStrayResponses {
		resp, err := c.readFinalResponse(e.Method)
		if err != nil {
			return nil, stray, err
		}
		if e.IDHeader == "" || resp.Header.Get(e.IDHeader) == e.ID {
			return resp, stray, nil
		}
		stray = true
		p.updateStats(func(s *Stats) { s.StrayResponses++ })
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayResponseBytes))
		if err != nil || resp.Close || n == maxStrayResponseBytes {
			return nil, true, &unexpectedBytesError{fmt.Errorf("answer to request %q in place of %q", resp.Header.Get(e.IDHeader), e.ID)}
		}
	}
	return nil, true, &unexpectedBytesError{errors.New("too many answers to other requests")}
}

// unexpectedBytesError means that the received bytes are not a response to the request.
type unexpectedBytesError struct{ error }

// Unwrap returns the cause.
func (e *unexpectedBytesError) Unwrap() error { return e.error }

func classify(err error) *Error {
	out := &Error{Stage: Sent, Err: err}
	var unexpected *unexpectedBytesError
	out.BadResponse = errors.As(err, &unexpected)
	out.Closed = errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	return out
}

// take returns an idle connection that can be reused for a request, or a new one.
func (p *Pool) take(ctx context.Context, id string) (*conn, error) {
	now := time.Now()
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.stats.Dials++
			p.mu.Unlock()
			break
		}
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if now.Sub(c.idleSince) < c.idleFor && c.ids.allows(id) && c.clean() {
			c.ids.add(id)
			p.updateStats(func(s *Stats) { s.Reused++ })
			return c, nil
		}
		c.Close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, limit: &io.LimitedReader{N: math.MaxInt64}}
	c.ids.add(id)
	c.limit.R = c
	c.reader = bufio.NewReaderSize(c.limit, p.config.ReadBuffer)
	return c, nil
}

// put adds a connection to the idle ones. It first closes the oldest idle connections as
// long as they have expired or the pool is full.
func (p *Pool) put(c *conn, idleFor time.Duration) {
	now := time.Now()
	c.idleSince, c.idleFor = now, idleFor
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && (now.Sub(p.idle[0].idleSince) >= p.idle[0].idleFor || len(p.idle) >= p.config.MaxIdle) {
		p.idle[0].Close()
		p.idle = p.idle[1:]
	}
	if p.closed || p.config.MaxIdle == 0 {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

func (p *Pool) updateStats(update func(*Stats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	update(&p.stats)
}

// Close closes the idle connections; connections in use are closed instead of becoming
// idle.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

// CloseIdle closes the connections that have not been used since a time. After an exchange that
// got no answer, the connections that were idle all the while may be silent too.
func (p *Pool) CloseIdle(since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		if c.idleSince.After(since) {
			return false
		}
		c.Close()
		return true
	})
}
