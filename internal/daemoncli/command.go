// Package daemoncli implements the basilwayd command.
package daemoncli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/basilway/basilway/internal/config"
	"github.com/basilway/basilway/internal/connectplatform"
	"github.com/basilway/basilway/internal/daemon"
	"github.com/basilway/basilway/lease"
	"github.com/basilway/basilway/membership"
)

// Exit codes of basilwayd; 0 means a graceful stop.
const (
	exitFailed = 1
	exitUsage  = 2
	// exitAborted means that requests in flight were aborted.
	exitAborted = 3
)

// Execute runs the command and returns the exit code.
func Execute() int {
	code := 0
	cmd := &cobra.Command{
		Use:   "basilwayd",
		Short: "Route requests to the backend servers that own their keys",
		Long: `basilwayd runs beside a backend server. It accepts requests for any key, sends those
whose key its backend server owns to that server and forwards the others to the owner's daemon.
Each setting is a flag or an environment variable; a flag takes precedence.`,
		Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := config.Load(cmd)
			if err != nil {
				return err
			}
			code, err = run(c)
			return err
		},
	}
	config.AddFlags(cmd)
	cmd.AddCommand(nodeCommand(), routerCommand())
	err := cmd.Execute()
	if err == nil {
		return code
	}
	fmt.Fprintln(os.Stderr, "basilwayd:", err)
	var invalid *config.Error
	if errors.As(err, &invalid) || code == 0 {
		return exitUsage
	}
	return code
}

// run serves until SIGTERM or SIGINT and then stops gracefully. A second signal stops the
// daemon immediately and aborts the requests in flight.
func run(c config.Config) (int, error) {
	log, err := newLogger(c)
	if err != nil {
		return exitFailed, err
	}
	client := connectplatform.NewClient(connectplatform.Config{URL: c.PlatformURL.String()})
	defer client.Close()
	limitMemory(int64(c.MemoryMB) << 20)
	d, err := daemon.New(daemonConfig(c, client), log)
	if err != nil {
		return exitFailed, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	return wait(d, log, signals, stop, done)
}

func wait(d *daemon.Daemon, log *zap.Logger, signals <-chan os.Signal, stop context.CancelFunc, done <-chan error) (int, error) {
	stopping := false
	for {
		select {
		case s := <-signals:
			if stopping {
				log.Error("second signal received, aborting requests in flight", zap.Int("requests cut", d.Abort()))
				return exitAborted, nil
			}
			log.Info("signal received, stopping gracefully", zap.Stringer("signal", s))
			stopping = true
			stop()
		case err := <-done:
			if err != nil && stopping {
				return exitAborted, err
			}
			if err != nil {
				return exitFailed, err
			}
			return 0, nil
		}
	}
}

func daemonConfig(c config.Config, client *connectplatform.Client) daemon.Config {
	out := daemon.Config{
		Instance: c.Instance, Zone: c.Zone, Listen: c.Listen.String(), PeerListen: c.PeerListen.String(),
		PeerKeys: c.PeerKeys, OperatorKeys: c.OperatorKeys, DrainTimeout: c.DrainTimeout,
		MemoryBytes:    int64(c.MemoryMB) << 20,
		DisableMetrics: !c.Metrics, MaxRequestIDs: c.RequestIDs, MaxPayloadBytes: c.MaxPayloadBytes,
		Lease: leaseConfig(c), Gossip: membership.DefaultConfig(),
		Table: client, Objects: client.Objects(),
	}
	out.Gossip.PollInterval = c.Poll
	if c.Advertise.Port() != 0 {
		out.Address = c.Advertise.String()
	}
	for _, seed := range c.Seeds {
		out.Seeds = append(out.Seeds, seed.String())
	}
	return out
}

// leaseConfig returns the lease timing for the settings. FreshFor scales with the renewal
// interval.
func leaseConfig(c config.Config) lease.Config {
	defaults := lease.DefaultConfig()
	out := defaults
	out.GrantDuration, out.RenewInterval = c.Lease, c.Renewal
	out.FreshFor = defaults.FreshFor * c.Renewal / defaults.RenewInterval
	return out
}

func newLogger(c config.Config) (*zap.Logger, error) {
	level, err := zap.ParseAtomicLevel(c.LogLevel)
	if err != nil {
		return nil, err
	}
	zc := zap.NewProductionConfig()
	zc.Level, zc.Encoding = level, c.LogFormat
	zc.DisableStacktrace, zc.Sampling = true, nil
	zc.EncoderConfig.EncodeTime = encodeLogTime
	zc.InitialFields = map[string]any{"instance": c.Instance}
	return zc.Build()
}
