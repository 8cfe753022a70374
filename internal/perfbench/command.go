// Package perfbench measures running daemons: throughput and latency of direct, owned and
// forwarded requests, goodput under overload, and the resources that idle daemons use.
package perfbench

import (
	"encoding/json"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
)

// Command returns the benchperf command, with a subcommand for each measurement.
func Command() *cobra.Command {
	root := &cobra.Command{
		Use: "benchperf", Short: "Measures daemons and stand-ins that run as separate processes", SilenceUsage: true,
	}
	root.AddCommand(pathsCommand(), overloadCommand(), idleCommand(), fillCommand(), reportCommand())
	return root
}

func pathsCommand() *cobra.Command {
	var c PathsConfig
	var out string
	cmd := &cobra.Command{
		Use: "paths", Short: "Compares direct, owned and forwarded requests", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := RunPaths(cmd.Context(), c)
			if err != nil {
				return err
			}
			return writeJSON(out, r)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&c.Backend, "backend", "", "base URL of the backend server")
	flags.StringVar(&c.Owner, "owner", "", "base URL of the daemon beside the backend server")
	flags.StringVar(&c.Forwarder, "forwarder", "", "base URL of a daemon without a backend server")
	flags.IntVar(&c.BackendPID, "backend-pid", 0, "process id of the backend server")
	flags.IntVar(&c.OwnerPID, "owner-pid", 0, "process id of the daemon beside the backend server")
	flags.IntVar(&c.ForwarderPID, "forwarder-pid", 0, "process id of the daemon without a backend server")
	flags.StringVar(&c.Service, "service", "booking", "name of the service")
	flags.IntVar(&c.Rounds, "rounds", 5, "number of measured rounds for each path")
	flags.DurationVar(&c.RoundLength, "round", 2*time.Second, "length of a round")
	flags.IntVar(&c.Callers, "callers", 32, "callers, each with one request at a time")
	flags.Float64Var(&c.Rate, "rate", 5800, "requests per second for the comparison of latencies")
	flags.StringVar(&out, "out", "", "file for the result")
	return cmd
}

func overloadCommand() *cobra.Command {
	var c OverloadConfig
	var out string
	cmd := &cobra.Command{
		Use: "overload", Short: "Measures goodput under overload and after a freeze", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := RunOverload(cmd.Context(), c)
			if err != nil {
				return err
			}
			return writeJSON(out, r)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&c.Daemon, "daemon", "", "base URL of the daemon")
	flags.StringVar(&c.Backend, "backend", "", "base URL of the backend server")
	flags.StringVar(&c.Service, "service", "booking", "name of the service")
	flags.IntVar(&c.Slots, "slots", 6, "slots of the backend server")
	flags.DurationVar(&c.ServiceTime, "service-time", 10*time.Millisecond, "time that a request holds a slot")
	flags.Float64Var(&c.Factor, "factor", 2, "offered load divided by the capacity")
	flags.DurationVar(&c.Duration, "duration", 8*time.Second, "length of each run")
	flags.DurationVar(&c.Freeze, "freeze", time.Second, "length of the freeze")
	flags.StringVar(&out, "out", "", "file for the result")
	return cmd
}

func idleCommand() *cobra.Command {
	var c IdleConfig
	var out string
	cmd := &cobra.Command{
		Use: "idle", Short: "Measures idle daemons", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := RunIdle(cmd.Context(), c)
			if err != nil {
				return err
			}
			return writeJSON(out, r)
		},
	}
	flags := cmd.Flags()
	flags.IntSliceVar(&c.PIDs, "pids", nil, "process ids of the daemons")
	flags.StringSliceVar(&c.URLs, "urls", nil, "base URLs of the daemons in the same order")
	flags.StringVar(&c.Store, "store", "", "base URL of the platform stand-in")
	flags.DurationVar(&c.Window, "window", 10*time.Second, "time over which rates are averaged")
	flags.StringVar(&out, "out", "", "file for the result")
	return cmd
}

func reportCommand() *cobra.Command {
	var dir, commit, load string
	cmd := &cobra.Command{
		Use: "report", Short: "Writes bench.md and bench.json from the results in a directory", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := readReport(dir)
			if err != nil {
				return err
			}
			r.Commit, r.Load = commit, load
			return r.write(dir, cmd.OutOrStdout())
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&dir, "dir", "out", "directory with the results")
	flags.StringVar(&commit, "commit", "", "measured commit")
	flags.StringVar(&load, "load", "", "load of the machine during the measurement")
	return cmd
}

func writeJSON(path string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(path, append(data, '\n'), 0o644))
}
