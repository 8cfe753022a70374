package daemoncli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/basilway/basilway/internal/logsink"
	"github.com/basilway/basilway/internal/node"
	"github.com/basilway/basilway/platform"
)

// nodeCommand returns the command that runs the HTTP router on the users' platform.
func nodeCommand() *cobra.Command {
	var options nodeOptions
	cmd := &cobra.Command{
		Use:   "node",
		Short: "Route HTTP requests on the users' platform",
		Long: `node runs the HTTP router beside a backend server on the users' platform. The platform
writes the settings file, which holds the addresses and the limits that the platform guarantees.`,
		Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error { return runNode(options) },
	}
	cmd.Flags().StringVar(&options.settings, "settings", os.Getenv(platform.SettingsVariable), "path of the settings file (environment "+platform.SettingsVariable+")")
	cmd.Flags().StringVar(&options.level, "log-level", "info", "minimum level of log lines: debug, info, warn or error")
	cmd.Flags().BoolVar(&options.learnCapacity, "learn-capacity", os.Getenv(learnCapacityVariable) == "true",
		"learn how much load the backend server handles well, and limit its requests to that (environment "+learnCapacityVariable+"=true)")
	return cmd
}

// learnCapacityVariable is the environment variable of the flag learn-capacity.
const learnCapacityVariable = "BASILWAY_LEARN_CAPACITY"

// nodeOptions are the flags of the node command.
type nodeOptions struct {
	// settings is the path of the settings file, level the minimum level of log lines.
	settings, level string
	learnCapacity   bool
}

// hangups receives SIGHUP from the start of the process to its end. Without a handler, SIGHUP
// ends a process.
var hangups = notifyHangups()

func notifyHangups() <-chan os.Signal {
	out := make(chan os.Signal, 1)
	signal.Notify(out, syscall.SIGHUP)
	return out
}

func runNode(options nodeOptions) error {
	settings, err := platform.ReadSettings(options.settings)
	if err != nil {
		return err
	}
	log, dropped, err := nodeLogger(settings.Node.Instance, options.level)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	limitMemory(settings.Node.MemoryBytes)
	settings.Node.DroppedLines, settings.Node.LearnCapacity = dropped, options.learnCapacity
	settings.Node.Store = platform.NewStore(settings.StoreAddress)
	go checkSettingsOnHangup(log, options.settings)
	err = runUntilSignal(log, settings.Node.Bounds.StopTimeout, func(ctx context.Context) error {
		return node.New(settings.Node, log).Run(ctx)
	})
	if err != nil {
		log.Error("ended", zap.Error(err))
	}
	return err
}

// nodeLogger returns a logger that never waits for its output, and a function that returns
// the number of lines that it dropped instead.
func nodeLogger(instance, level string) (*zap.Logger, func() uint64, error) {
	minLevel, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, nil, fmt.Errorf("log level: %w", err)
	}
	out := logsink.New(os.Stdout)
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = encodeLogTime
	encoder.EncodeDuration = zapcore.StringDurationEncoder
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoder), out, minLevel)).With(zap.String("instance", instance))
	return log, out.Dropped, nil
}

// checkSettingsOnHangup validates the settings file on each signal until the process ends. It
// does not apply the file: a running process keeps its settings.
func checkSettingsOnHangup(log *zap.Logger, path string) {
	for range hangups {
		if _, err := platform.ReadSettings(path); err != nil {
			log.Error("settings file cannot be loaded; the node keeps its settings", zap.Error(err))
			continue
		}
		log.Info("settings file is valid; changes take effect at the next start")
	}
}
