package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/basilway/basilway/internal/hangup"
	"github.com/basilway/basilway/internal/inputlimit"
)

const (
	// unusedConnWait is how long a stopping node waits for requests on connections that it has accepted.
	// A request may be on its way on one that was just opened.
	unusedConnWait = 250 * time.Millisecond
	// unusedConnInterval is the interval at which a stopping node looks for such connections.
	unusedConnInterval = 10 * time.Millisecond
)

// plainServer is an http.Server that shuts down in the order that loses no request and waits for nothing
// else: http.Server drops what arrives on an accepted connection once it shuts down, and waits up to 5 s
// for connections on which nothing has arrived. HTTP clients keep such connections as spare ones.
type plainServer struct {
	*http.Server

	mu       sync.Mutex
	listener net.Listener
	stopping bool
	// unused are the connections on which no request has arrived.
	unused map[net.Conn]bool
}

func newPlainServer(s *http.Server) *plainServer {
	out := &plainServer{Server: s, unused: map[net.Conn]bool{}}
	s.ConnState = out.connState
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return inputlimit.WithConn(hangup.WithConn(ctx, c), c)
	}
	return out
}

// connState is the ConnState hook of the http.Server.
func (s *plainServer) connState(c net.Conn, state http.ConnState) {
	if limited, ok := c.(*inputlimit.Conn); ok {
		limited.SetState(state)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew {
		s.unused[c] = true
	} else {
		delete(s.unused, c)
	}
}

// Serve accepts connections until the server is shut down. It then returns http.ErrServerClosed.
func (s *plainServer) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	err := s.Server.Serve(l)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping && errors.Is(err, net.ErrClosed) {
		return http.ErrServerClosed
	}
	return err
}

// Shutdown stops accepting connections and waits until the running requests are answered, or until ctx
// ends.
func (s *plainServer) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	if s.listener != nil {
		s.listener.Close()
	}
	s.mu.Unlock()
	for end := time.Now().Add(unusedConnWait); s.unusedCount() > 0 && time.Now().Before(end) && ctx.Err() == nil; {
		sleep(ctx, unusedConnInterval)
	}
	done := make(chan error, 1)
	go func() { done <- s.Server.Shutdown(ctx) }()
	for {
		s.closeUnused()
		select {
		case err := <-done:
			return err
		case <-time.After(unusedConnInterval):
		}
	}
}

func (s *plainServer) unusedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.unused)
}

// closeUnused closes the connections on which no request has arrived.
func (s *plainServer) closeUnused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.unused {
		c.Close()
	}
}
