package standin

import (
	"fmt"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/basilway/basilway/internal/backendsim"
)

// crashExitStatus is the exit status of a backend server that simulates a crash.
const crashExitStatus = 70

func newBackendCommand() *cobra.Command {
	var listen, logFile string
	var cfg backendsim.Config
	cmd := &cobra.Command{
		Use:   "backend",
		Short: "Runs a backend server that keeps state for each key",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			logger, err := zap.NewProduction()
			if err != nil {
				return trace.Wrap(err)
			}
			cfg.Logger = logger
			cfg.OnCrash = func() { os.Exit(crashExitStatus) }
			if logFile != "" {
				file, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
				if err != nil {
					return trace.ConvertSystemError(err)
				}
				defer func() { _ = file.Close() }()
				cfg.LogWriter = file
			}
			server, err := backendsim.Start(listen, cfg)
			if err != nil {
				return trace.Wrap(err)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "backend listening on %s process %d\n", server.URL(), server.ProcessID())
			<-cmd.Context().Done()
			server.Shutdown(shutdownTimeout)
			return nil
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:7200", "address to listen on")
	flags.StringVar(&cfg.AnnounceURL, "announce", "", "base URL of the daemon; nothing is announced if empty")
	flags.StringVar(&cfg.Service, "service", "demo", "name of the service")
	flags.IntVar(&cfg.Slots, "slots", 6, "number of requests that run at a time")
	flags.IntVar(&cfg.MaxQueue, "max-queue", 0, "number of requests that may wait for a slot; 8 for each slot if 0")
	flags.DurationVar(&cfg.ServiceTime, "service-time", 0, "time that a request holds its slot")
	flags.DurationVar(&cfg.ColdStart, "cold-start", 0, "time after the start during which the server is slower")
	flags.BoolVar(&cfg.ChecksGrants, "checks-grants", false, "refuse expired and superseded grants")
	flags.DurationVar(&cfg.AnnounceInterval, "announce-interval", time.Second, "time between announcements")
	flags.IntVar(&cfg.LogSize, "log-size", 0, "maximum number of entries of the execution log; 200,000 if 0")
	flags.StringVar(&logFile, "log-file", "", "file to which each entry of the execution log is appended; none if empty")
	flags.Uint64Var(&cfg.Seed, "seed", 0, "seed of the random faults")
	return cmd
}
