package standin

import (
	"fmt"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/basilway/basilway/internal/backendsim"
)

func newHTTPBackendCommand() *cobra.Command {
	var listen string
	var cfg backendsim.HTTPConfig
	cmd := &cobra.Command{
		Use:   "http-backend",
		Short: "Runs an HTTP backend server that serves the keys that a router grants it",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			logger, err := zap.NewProduction()
			if err != nil {
				return trace.Wrap(err)
			}
			cfg.Logger = logger
			listener, err := net.Listen("tcp", listen)
			if err != nil {
				return trace.Wrap(err)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "HTTP backend %s listening on %s\n", cfg.ID, listener.Addr())
			return trace.Wrap(backendsim.NewHTTPBackend(cfg).Serve(cmd.Context(), listener, shutdownTimeout))
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:7200", "address to listen on")
	flags.StringVar(&cfg.AnnounceURL, "announce", "http://127.0.0.1:7103", "base URL of the router's listener for announcements")
	flags.StringVar(&cfg.ID, "id", "backend-1", "name of the backend server")
	flags.StringVar(&cfg.Service, "service", "demo", "name of the service")
	flags.IntVar(&cfg.Slots, "slots", 6, "number of requests that run at a time")
	flags.DurationVar(&cfg.ServiceTime, "service-time", 0, "time that a request holds its slot")
	flags.Float64Var(&cfg.Limit, "limit", 0, "limit in requests a second that responses name; 0 for none")
	flags.DurationVar(&cfg.AnnounceInterval, "announce-interval", 400*time.Millisecond, "time between announcements")
	return cmd
}
