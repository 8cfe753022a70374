// Package readahead serves HTTP/1.1 connections whose clients send requests before earlier
// ones are answered. A Server splits each client connection into streams, one for each
// request that runs, and gives the streams as connections to an http.Server, which parses and
// answers them as usual. Responses are put back into the order of the requests. What runs and
// when is decided by package pipeline.
//
// The boundaries of requests are found with http.ReadRequest, the same parser that the
// http.Server uses. A request that this cannot delimit within bounds (malformed, too large,
// HTTP/1.0, with Expect or Upgrade) is not judged here: with all that follows it goes to the
// http.Server as an ordinary connection.
package readahead

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/basilway/basilway/internal/hangup"
	"github.com/basilway/basilway/internal/inputlimit"
)

// Server is an HTTP server whose connections read ahead.
type Server struct {
	config Config
	inner  *http.Server
	// rest handles the requests of connections that the http.Server reads itself.
	rest    http.Handler
	streams *streamListener
	// heldBytes counts the bytes of requests read ahead and of responses held back.
	heldBytes atomic.Int64

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
	stopping bool
	ended    chan struct{} // closed and replaced when a connection ends
}

// NewServer returns a server that is not serving yet.
func NewServer(config Config, errorLog *log.Logger) *Server {
	s := &Server{config: config, streams: newStreamListener(), conns: map[*conn]struct{}{}, ended: make(chan struct{})}
	if errorLog == nil {
		errorLog = log.Default()
	}
	s.rest = inputlimit.Handler(config.Handler, config.Refuse)
	s.inner = &http.Server{
		Handler: http.HandlerFunc(s.serveStream), ConnState: s.innerState, ErrorLog: errorLog,
		MaxHeaderBytes: config.MaxHeaderBytes, IdleTimeout: config.IdleTimeout, ReadHeaderTimeout: config.HeaderTimeout(),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			if st, ok := c.(*stream); ok {
				return context.WithValue(hangup.WithConn(ctx, st.conn.raw), streamKey{}, st)
			}
			if rest, ok := c.(*restConn); ok {
				ctx = inputlimit.WithConn(ctx, rest.Conn)
			}
			return hangup.WithConn(ctx, c)
		},
	}
	return s
}

// Serve accepts connections until the server is shut down. It then returns
// http.ErrServerClosed.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	innerDone := make(chan error, 1)
	go func() { innerDone <- s.inner.Serve(s.streams) }()
	for {
		raw, err := l.Accept()
		if err == nil {
			s.start(raw)
			continue
		}
		s.mu.Lock()
		stopping := s.stopping
		s.mu.Unlock()
		if stopping {
			return <-innerDone
		}
		var netErr net.Error
		if !errors.As(err, &netErr) || !netErr.Timeout() && !isTemporary(err) {
			return err
		}
		s.inner.ErrorLog.Printf("accept: %v; trying again", err)
		time.Sleep(acceptPause)
	}
}

// acceptPause is the pause after a connection could not be accepted, for lack of file
// descriptors.
const acceptPause = 5 * time.Millisecond

// serverName is the name of client connections in the limiter's figures.
const serverName = "clients"

func (s *Server) start(raw net.Conn) {
	holder, ok := s.config.Limiter.Open(serverName, false, raw)
	if !ok {
		raw.Close()
		return
	}
	c := newConn(s, raw, holder)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	stopping := s.stopping
	s.mu.Unlock()
	c.report(http.StateNew)
	if stopping {
		c.stop()
	}
	go c.run()
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	close(s.ended)
	s.ended = make(chan struct{})
}

// Shutdown stops accepting connections and reading requests, and waits until the requests
// that run are answered, or until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	if s.listener != nil {
		s.listener.Close()
	}
	open := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	s.mu.Unlock()
	for _, c := range open {
		c.stop()
	}
	for {
		s.mu.Lock()
		left, ended := len(s.conns), s.ended
		s.mu.Unlock()
		if left == 0 {
			// The streams are closed; what is left are connections that were handed over.
			return s.inner.Shutdown(ctx)
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Close ends all connections at once.
func (s *Server) Close() error {
	s.mu.Lock()
	s.stopping = true
	if s.listener != nil {
		s.listener.Close()
	}
	for c := range s.conns {
		c.raw.Close()
	}
	s.mu.Unlock()
	return s.inner.Close()
}

// innerState is the ConnState hook of the http.Server.
func (s *Server) innerState(nc net.Conn, state http.ConnState) {
	switch c := nc.(type) {
	case *stream:
		switch state {
		case http.StateIdle:
			c.conn.finish(c, false)
		case http.StateClosed, http.StateHijacked:
			c.conn.finish(c, true)
		}
	case *restConn:
		c.SetState(state)
		if state != http.StateNew && s.config.ConnState != nil {
			s.config.ConnState(c.raw, state)
		}
	}
}

// reserve counts held bytes of a request's response. It reports false if they do not fit.
func (s *Server) reserve(request *inputlimit.Request, n int) bool {
	if s.heldBytes.Add(int64(n)) <= s.config.MaxInstanceBytes && request.TryGrow(int64(n)*receivedCost) {
		return true
	}
	s.heldBytes.Add(-int64(n))
	return false
}

// full reports whether all connections together hold as many bytes as they may.
func (s *Server) full() bool {
	return s.heldBytes.Load() >= s.config.MaxInstanceBytes || s.config.Limiter.Full()
}
