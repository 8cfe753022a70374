package httpclient

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// maxStrayBytes bounds an answer to another request that is skipped.
const maxStrayBytes = 1 << 20

// maxStrayAnswers bounds the answers to other requests that are skipped on a connection.
const maxStrayAnswers = 4

// tcpUserTimeout is the number of the socket option TCP_USER_TIMEOUT of Linux.
const tcpUserTimeout = 0x12

// Pool keeps connections to one address. It is safe for concurrent use.
type Pool struct {
	address string
	config  Config
	dialer  net.Dialer

	mu     sync.Mutex
	idle   []*conn // the last one was used last
	closed bool
	stats  Stats
}

// Stats counts what a Pool has done.
type Stats struct {
	Dials, Reused, Stray uint64
}

// NewPool returns a pool without connections.
func NewPool(address string, config Config) *Pool {
	p := &Pool{address: address, config: config}
	p.dialer = net.Dialer{
		Timeout:         config.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3},
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

// Address returns where the pool connects to.
func (p *Pool) Address() string { return p.address }

// Stats returns the counters.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// Do sends a request and returns its answer, whose body the caller must close. sent is
// called just before the first byte is written, if not nil, and may refuse. When ctx ends
// the connection is closed. Errors are of type *Error.
func (p *Pool) Do(ctx context.Context, e Exchange, sent func() error) (*http.Response, error) {
	c, err := p.take(ctx)
	if err != nil {
		return nil, &Error{Refused: errors.Is(err, syscall.ECONNREFUSED), Err: err}
	}
	if sent != nil {
		if err := sent(); err != nil {
			p.put(c, p.config.IdleTimeout)
			return nil, &Error{Err: err}
		}
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	resp, stray, err := p.exchange(c, e)
	if err != nil {
		stop()
		c.Close()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, classify(err)
	}
	resp.Body = &body{ReadCloser: resp.Body, finish: func(whole bool) {
		quiet := stop()
		if !quiet || !whole || stray || resp.Close || !c.written() || c.reader.Buffered() > 0 {
			c.Close()
			return
		}
		p.put(c, keepAlive(resp.Header, p.config.IdleTimeout))
	}}
	return resp, nil
}

// exchange sends e and reads answers until one has its id. stray is true if others were
// skipped before it.
func (p *Pool) exchange(c *conn, e Exchange) (resp *http.Response, stray bool, err error) {
	if err := c.send(e); err != nil {
		return nil, false, err
	}
	for range maxStrayAnswers {
		resp, err := readFinal(c.reader, e.Method)
		if err != nil {
			return nil, stray, err
		}
		if e.IDHeader == "" || resp.Header.Get(e.IDHeader) == e.ID {
			return resp, stray, nil
		}
		stray = true
		p.count(func(s *Stats) { s.Stray++ })
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes))
		if err != nil || resp.Close || n == maxStrayBytes {
			return nil, true, &brokenError{fmt.Errorf("answer to request %q in place of %q", resp.Header.Get(e.IDHeader), e.ID)}
		}
	}
	return nil, true, &brokenError{errors.New("too many answers to other requests")}
}

// brokenError marks bytes that are no answer to the request.
type brokenError struct{ error }

// readFinal reads an answer and skips interim ones.
func readFinal(r *bufio.Reader, method string) (*http.Response, error) {
	for {
		first, err := r.Peek(1)
		if err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			var network net.Error
			if errors.As(err, &network) || first == nil {
				return nil, err
			}
			return nil, &brokenError{err}
		}
		if resp.StatusCode >= 200 || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

func classify(err error) *Error {
	out := &Error{Stage: Sent, Err: err}
	var broken *brokenError
	out.Broken = errors.As(err, &broken)
	out.Closed = errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	return out
}

// take returns an idle connection that is still good, or a new one.
func (p *Pool) take(ctx context.Context) (*conn, error) {
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
		if now.Sub(c.idleSince) < c.idleFor && c.clean() {
			p.count(func(s *Stats) { s.Reused++ })
			return c, nil
		}
		c.Close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, p.config.ReadBuffer)}, nil
}

// put keeps a connection for later and closes those that were unused for too long.
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

func (p *Pool) count(change func(*Stats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.stats)
}

// Close closes the idle connections and those that become idle.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}
