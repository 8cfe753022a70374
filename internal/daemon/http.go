package daemon

import (
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/basilway/basilway/gen/basilway/v1/basilwayv1connect"
	"github.com/basilway/basilway/internal/peer"
)

const (
	// readHeaderTimeout closes connections that never send a request.
	readHeaderTimeout = 10 * time.Second
	// maxCallBytes bounds a caller's message; catalogue limits are at most 16 MiB.
	maxCallBytes = 17 << 20
	// compressMinBytes is the size from which answers are compressed for callers that
	// accept it. Compression takes more than the rest of a small call.
	compressMinBytes = 16 << 10
)

// newHTTPServer returns the server for callers, operators, the backend server and
// other daemons. It speaks HTTP/1.1 and HTTP/2 without TLS.
func (d *Daemon) newHTTPServer() *http.Server {
	mux := http.NewServeMux()
	options := connect.WithHandlerOptions(connect.WithReadMaxBytes(maxCallBytes), connect.WithCompressMinBytes(compressMinBytes))
	guarded := connect.WithInterceptors(operatorInterceptor(d.config.OperatorKeys))
	mux.Handle(basilwayv1connect.NewRouterServiceHandler(&routerAPI{router: d.router}, options))
	mux.Handle(basilwayv1connect.NewCatalogueServiceHandler(&catalogueAPI{replicas: d.replicas, editor: d.editor}, options, guarded))
	mux.Handle(basilwayv1connect.NewAdminServiceHandler(&adminAPI{daemon: d}, options, guarded))
	mux.Handle(d.backend.announceHandler(d.listener.Addr(), d.config.OperatorKeys, options))
	mux.Handle(peer.Path, d.pool)
	if !d.config.DisableMetrics {
		mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { d.metrics.write(w) })
	}
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", d.ready)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: d.closeWhenStopping(mux), ReadHeaderTimeout: readHeaderTimeout, Protocols: protocols}
}

// closeWhenStopping asks HTTP/1 callers to close their connections while the daemon
// stops. A connection that the server closes by itself can cut a request that its
// caller is just sending.
func (d *Daemon) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.stopping.Load() && r.ProtoMajor == 1 && r.Header.Get("Upgrade") == "" {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// ready tells whether callers should use this daemon: it knows the cluster and is not
// stopping. It need not own anything, because it forwards.
func (d *Daemon) ready(w http.ResponseWriter, _ *http.Request) {
	if d.stopping.Load() || !d.loaded.Load() || d.replicas.cluster().Version == 0 {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
