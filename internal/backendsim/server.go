package backendsim

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/basilway/basilway/gen/basilway/backend/v1/backendv1connect"
)

// Server is a stand-in for a backend server. It is safe for concurrent use.
type Server struct {
	cfg       Config
	processID uint64
	started   time.Time
	listener  net.Listener
	http      *http.Server
	state     *state
	log       *executions
	grants    *grants
	gate      gate
	slots     chan struct{}
	waiting   atomic.Int64

	mu     sync.Mutex
	rng    *rand.Rand
	faults Faults

	stopOnce sync.Once
	stopped  chan struct{}
	wg       sync.WaitGroup
}

// Start listens on address and serves until Close, Shutdown or a crash.
func Start(address string, cfg Config) (*Server, error) {
	cfg = cfg.withDefaults()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s := &Server{
		cfg:       cfg,
		processID: rand.Uint64(),
		started:   time.Now(),
		listener:  listener,
		state:     newState(),
		log:       newExecutions(cfg.LogSize, cfg.LogWriter),
		grants:    &grants{epochs: map[string]uint64{}},
		slots:     make(chan struct{}, cfg.Slots),
		rng:       rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		stopped:   make(chan struct{}),
	}
	s.http = &http.Server{Handler: s.handler(), ReadHeaderTimeout: 10 * time.Second}
	s.wg.Go(func() {
		if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.cfg.Logger.Error("backend server stopped", zap.Error(err))
		}
	})
	if cfg.AnnounceURL != "" {
		s.wg.Go(s.announce)
	}
	return s, nil
}

func (s *Server) handler() http.Handler {
	path, service := backendv1connect.NewBackendServiceHandler(backendService{s},
		connect.WithCompressMinBytes(compressMinBytes))
	mux := http.NewServeMux()
	mux.Handle(path, service)
	mux.HandleFunc("GET /control", s.getControl)
	mux.HandleFunc("POST /control", s.postControl)
	mux.HandleFunc("GET /executions", s.getExecutions)
	return mux
}

// URL returns the base URL of the server.
func (s *Server) URL() string { return "http://" + s.listener.Addr().String() }

// ProcessID returns the random process id that the server announces.
func (s *Server) ProcessID() uint64 { return s.processID }

// Executions returns the execution log.
func (s *Server) Executions() ExecutionLog {
	log := s.log.snapshot()
	log.ProcessID = s.processID
	return log
}

// ExecutionCount returns how often the log says that the request with this id ran.
func (s *Server) ExecutionCount(requestID string) int { return s.log.count(requestID) }

// SetFaults replaces the current faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	s.gate.set(f.Frozen)
}

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Crash closes the listener and all connections without responding, as if the process had
// ended, and then calls Config.OnCrash.
func (s *Server) Crash() {
	s.stop()
	s.cfg.OnCrash()
}

// Close stops the server immediately and waits for its goroutines.
func (s *Server) Close() {
	s.stop()
	s.wg.Wait()
}

// Shutdown waits up to timeout for requests in flight and then closes the server.
func (s *Server) Shutdown(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		s.cfg.Logger.Warn("closing with requests in flight", zap.Error(err))
	}
	s.Close()
}

// Stopped returns a channel that is closed when the server is closed or has crashed.
func (s *Server) Stopped() <-chan struct{} { return s.stopped }

func (s *Server) stop() {
	s.stopOnce.Do(func() {
		close(s.stopped)
		_ = s.http.Close()
	})
}

// chance returns true with the given probability.
func (s *Server) chance(probability float64) bool {
	if probability <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < probability
}
