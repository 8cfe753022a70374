package daemon

import (
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/basilway/basilway/gen/basilway/v1/basilwayv1connect"
	"github.com/basilway/basilway/internal/inputlimit"
	"github.com/basilway/basilway/internal/peer"
)

const (
	// readHeaderTimeout bounds the time to read a request's header, so that connections
	// that never send a request are closed.
	readHeaderTimeout = 10 * time.Second
	// maxHeaderBytes bounds the size of a request header.
	maxHeaderBytes = 64 << 10
	// maxReceiveBuffer is how much of bodies an HTTP/2 connection may receive before it is read.
	maxReceiveBuffer = 64 << 10
	// maxCallBytes bounds a caller's message; payload limits in the catalogue are at most
	// 16 MiB.
	maxCallBytes = 17 << 20
	// compressMinBytes is the least size of responses that are compressed for callers
	// that accept it. Compressing a small response costs more than the rest of the call.
	compressMinBytes = 16 << 10
)

// newHTTPServer returns the server for callers, operators, the backend server and
// other daemons. It speaks HTTP/1.1 and HTTP/2 without TLS.
func (d *Daemon) newHTTPServer() *http.Server {
	mux := http.NewServeMux()
	options := connect.WithHandlerOptions(connect.WithReadMaxBytes(maxCallBytes), connect.WithCompressMinBytes(compressMinBytes))
	operatorOnly := connect.WithInterceptors(operatorInterceptor(d.config.OperatorKeys))
	mux.Handle(basilwayv1connect.NewRouterServiceHandler(&routerAPI{router: d.router}, options))
	mux.Handle(basilwayv1connect.NewCatalogueServiceHandler(&catalogueAPI{replicas: d.replicas, editor: d.editor}, options, operatorOnly))
	mux.Handle(basilwayv1connect.NewAdminServiceHandler(&adminAPI{daemon: d}, options, operatorOnly))
	mux.Handle(d.backend.announceHandler(d.listener.Addr(), d.config.OperatorKeys, options))
	mux.Handle(peer.Path, d.pool)
	if !d.config.DisableMetrics {
		mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { d.metrics.write(w) })
	}
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", d.handleReady)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: inputlimit.Handler(d.chargeBodies(d.closeWhenStopping(mux)), refuseForMemory), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
		Protocols:   protocols,
		HTTP2:       &http.HTTP2Config{MaxReceiveBufferPerConnection: maxReceiveBuffer, MaxReceiveBufferPerStream: maxReceiveBuffer},
		ConnContext: inputlimit.WithConn,
		ConnState: func(c net.Conn, s http.ConnState) {
			if limited, ok := c.(*inputlimit.Conn); ok {
				limited.SetState(s)
			}
		},
	}
}

// closeWhenStopping asks HTTP/1 callers to close their connections while the daemon
// stops. If the server closes a connection itself, a request that the caller is just
// sending can be lost.
func (d *Daemon) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.stopping.Load() && r.ProtoMajor == 1 && r.Header.Get("Upgrade") == "" {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// handleReady tells whether callers should use this daemon: it knows the cluster and is
// not stopping. It need not own any units, because it forwards requests.
func (d *Daemon) handleReady(w http.ResponseWriter, _ *http.Request) {
	if d.stopping.Load() || !d.loaded.Load() || d.replicas.cluster().Version == 0 {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
