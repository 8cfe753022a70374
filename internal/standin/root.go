// Package standin contains the commands that run stand-ins for external systems.
package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
)

const (
	// shutdownTimeout bounds how long a stand-in that stops waits for requests in flight.
	shutdownTimeout = 5 * time.Second
	// readHeaderTimeout closes connections that never send a request.
	readHeaderTimeout = 10 * time.Second
)

// NewCommand returns the root command.
func NewCommand() *cobra.Command {
	root := &cobra.Command{
		Use:          "standin",
		Short:        "Runs stand-ins for the platform and for backend servers",
		SilenceUsage: true,
	}
	root.AddCommand(newPlatformCommand(), newBackendCommand(), newHTTPBackendCommand(), newCallerCommand())
	return root
}

// serve runs handler on listener until ctx ends, then waits for requests in flight.
func serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err := <-serveErr:
		return trace.Wrap(err)
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := server.Shutdown(shutdownCtx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = server.Close()
	}
	<-serveErr
	return trace.Wrap(err)
}
