package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/internal/inputlimit"
	"github.com/basilway/basilway/internal/readahead"
	"github.com/basilway/basilway/pipeline"
)

// server is a plainServer or the server of client connections.
type server interface {
	Serve(net.Listener) error
	Shutdown(context.Context) error
	Close() error
}

// boundServer is a server with its listener.
type boundServer struct {
	name     string
	server   server
	listener net.Listener
}

const (
	// headerTimeout bounds how long a client may take to send the header of a request if the
	// operator's limit is not known or longer.
	headerTimeout = 10 * time.Second
	// defaultClientIdle is how long an idle client connection is kept if the operator's
	// limit is not known. A longer limit of the operator has no effect.
	defaultClientIdle = 90 * time.Second
	// clientWriteTimeout is how long a client may take to read 16 KiB of a response. It is longer than
	// any deadline, because responses that are ready are delivered even if late.
	clientWriteTimeout = 30 * time.Second
	// maxHeaderBytes bounds the size of a request header.
	maxHeaderBytes = 64 << 10
	// maxForwardedHeaderBytes bounds the size of a header between nodes. Lines of three bytes take six
	// there, and the node adds some of its own.
	maxForwardedHeaderBytes = 2*maxHeaderBytes + 8<<10
)

func (n *Node) listen() ([]boundServer, error) {
	ready := http.NewServeMux()
	ready.HandleFunc(n.config.Protocol.ReadyPath(), n.serveReady)
	metricsMux := http.NewServeMux()
	metricsMux.Handle("/metrics", n.metrics)
	metricsMux.HandleFunc("GET /status", n.serveStatus)
	var out []boundServer
	for _, s := range []struct {
		name, address string
		handler       http.Handler
		refuse        http.HandlerFunc
		optional      bool
	}{
		{clientServer, n.config.ClientAddress, http.HandlerFunc(n.serveClient), n.refuseClient, false},
		{"ready", n.config.ReadyAddress, ready, refuseForMemory, false},
		{"heartbeats", n.config.HeartbeatAddress, http.HandlerFunc(n.backend.serveAnnouncement), refuseForMemory, false},
		{"peers", n.config.PeerAddress, n.peerHandler(n.peerCalls()), n.refusePeer, false},
		{"metrics", n.config.MetricsAddress, metricsMux, refuseForMemory, true},
	} {
		if s.address == "" {
			continue
		}
		l, err := net.Listen("tcp", s.address)
		if err != nil && s.optional {
			n.log.Warn("not listening", zap.String("for", s.name), zap.String("address", s.address), zap.Error(err))
			continue
		}
		if err != nil {
			for _, open := range out {
				open.listener.Close()
			}
			return nil, fmt.Errorf("listen for %s: %w", s.name, err)
		}
		errorLog := zap.NewStdLog(n.log.Named(s.name))
		if s.name == clientServer {
			out = append(out, boundServer{s.name, readahead.NewServer(n.clientServerConfig(s.handler), errorLog), l})
			continue
		}
		out = append(out, boundServer{s.name, newPlainServer(&http.Server{
			Handler: inputlimit.Handler(s.handler, s.refuse), ReadHeaderTimeout: headerTimeout, IdleTimeout: defaultClientIdle,
			MaxHeaderBytes: maxForwardedHeaderBytes, ErrorLog: errorLog,
		}), n.limiter.Listen(s.name, l)})
	}
	return out, nil
}

// clientServer is the name of the server of client connections in logs.
const clientServer = "clients"

// clientConnPercent is the percentage of the file descriptors that client connections may
// use. Beyond it, each response closes its connection, because refused clients come back on
// new connections. The rest is for other nodes, the backend server and clients with running
// requests.
const clientConnPercent = 40

const (
	// maxHeldResponse is the size in bytes of a response that waits in memory for earlier
	// responses of its connection. A longer one waits in its handler.
	maxHeldResponse = 64 << 10
	// maxReadAhead bounds the bytes of requests read ahead and of responses held back over all
	// client connections.
	maxReadAhead = 8 << 20
)

func (n *Node) clientServerConfig(handler http.Handler) readahead.Config {
	return readahead.Config{
		Handler: handler, Idempotent: n.isIdempotent, Bounds: pipeline.DefaultConfig(),
		MaxHeldBytes: maxHeldResponse, MaxInstanceBytes: maxReadAhead, MaxHeaderBytes: maxHeaderBytes,
		Limiter: n.limiter, Refuse: n.refuseClient,
		HeaderTimeout: n.clientHeaderLimit, IdleTimeout: defaultClientIdle, WriteTimeout: clientWriteTimeout, WriteTimedOut: n.countSlowReader,
		ConnState: n.clients.connState, ObserveWait: n.metrics.observeConnWait,
	}
}

// countSlowReader is called when a client connection is closed because the client does not read.
func (n *Node) countSlowReader() {
	n.metrics.countSlowReader()
	n.events.log.Info("client connection closed, the client does not read its response", zap.Duration("write timeout", clientWriteTimeout))
}

// isIdempotent reports whether a client's request may run beside others of its connection.
func (n *Node) isIdempotent(r *http.Request) bool {
	routes := n.views.current().Routes
	if routes == nil {
		return false
	}
	route, ok := routes.Match(r.Host, r.URL.Path)
	return ok && route.Kind.Repeatable()
}

// clientHeaderLimit returns how long a client may take to send a header.
func (n *Node) clientHeaderLimit() time.Duration {
	if routes := n.views.current().Routes; routes != nil && routes.Limits.HeaderTimeout > 0 {
		return min(routes.Limits.HeaderTimeout, headerTimeout)
	}
	return headerTimeout
}

// clientIdleLimit returns how long the operator allows a client connection to be idle, or 0
// if that is not known; then defaultClientIdle applies.
func (n *Node) clientIdleLimit() time.Duration {
	routes := n.views.current().Routes
	if routes == nil {
		return 0
	}
	return routes.Limits.IdleTimeout
}

// peerCalls serves the messages of other nodes.
func (n *Node) peerCalls() *http.ServeMux {
	calls := http.NewServeMux()
	calls.HandleFunc("POST "+reportPath, n.serveReport)
	calls.HandleFunc("POST "+rowsPath, n.gossip.serveRows)
	calls.HandleFunc("POST "+digestPath, n.gossip.serveDigest)
	calls.HandleFunc("POST "+storePath, n.store.serveStore)
	calls.HandleFunc("POST "+desiredStatePath, n.desired.serve)
	calls.HandleFunc("POST "+desiredChunksPath, n.source.serve)
	calls.HandleFunc("POST "+completedMovesPath, n.moves.serve)
	calls.HandleFunc("POST "+admitPath, n.serveAdmit)
	calls.HandleFunc("POST "+plannerContactPath, n.servePlannerQuestion)
	calls.HandleFunc("GET "+pingPath, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	return calls
}

// peerHandler passes messages between nodes to calls. Forwarded client requests keep their
// own paths and are recognized by their ticket.
func (n *Node) peerHandler(calls http.Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// A nil entry keeps net/http from adding a date, which only clients need. The date of a
		// backend server's response replaces it.
		w.Header()["Date"] = nil
		if r.Header.Get(ticketHeader) != "" {
			n.servePeer(w, r)
			return
		}
		if r.Header.Get(compactHeader) != "" {
			n.serveCompact(w, r)
			return
		}
		calls.ServeHTTP(w, r)
	}
}

const (
	// stopUnreadyPeriod is how long a stopping node still serves while the platform detects,
	// by two failed checks a second apart, that it is not ready.
	stopUnreadyPeriod = 2300 * time.Millisecond
	// stopReserve is the part of the stop timeout that is reserved for the process to exit.
	stopReserve = 700 * time.Millisecond
)

// stop serves until the platform sends clients elsewhere, and then waits for running requests.
func (n *Node) stop(servers []boundServer) {
	started := time.Now()
	limit := n.config.Bounds.StopTimeout - stopReserve
	lastAnswers := started.Add(limit - stopAnswerReserve)
	n.beginStop(started, lastAnswers)
	defer time.AfterFunc(time.Until(lastAnswers), n.endRequests).Stop()
	n.log.Info("stopping", zap.Int("running", n.backend.queue.load().running))
	time.Sleep(min(stopUnreadyPeriod, limit))
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(limit))
	defer cancel()
	var done sync.WaitGroup
	for _, s := range servers {
		done.Go(func() {
			if err := s.server.Shutdown(ctx); err != nil {
				n.log.Warn("requests aborted by the stop", zap.String("server", s.name), zap.Error(err))
				s.server.Close()
			}
		})
	}
	done.Wait()
}
