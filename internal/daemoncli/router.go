package daemoncli

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/viper"

	"github.com/basilway/basilway/internal/connectplatform"
	"github.com/basilway/basilway/internal/httpprotocol"
	"github.com/basilway/basilway/internal/node"
	"github.com/basilway/basilway/metastore/polled"
)

const (
	// routerPollInterval is the time between reads of a watched table. A change of the routes
	// takes effect within it.
	routerPollInterval = 200 * time.Millisecond
	// Limits for deployments outside the users' platform, where no platform states any. A
	// backend server leaves within routerDrainTimeout, a router stops within
	// routerStopTimeout, a hold lasts at most routerMaxHold, and retries are limited to
	// routerRetryShare of the requests in routerRetryWindow plus routerRetryExtra.
	routerDrainTimeout = 2500 * time.Millisecond
	routerStopTimeout  = 6 * time.Second
	routerMaxHold      = 10 * time.Second
	routerRetryShare   = 0.2
	routerRetryWindow  = 10 * time.Second
	routerRetryExtra   = 60
	// minMemoryMB is the least memory that a router can be given.
	minMemoryMB = 48
)

// routerCommand returns the command that runs the HTTP router outside the users' platform.
func routerCommand() *cobra.Command {
	settings := viper.New()
	cmd := &cobra.Command{
		Use:   "router",
		Short: "Route HTTP requests by the routes of the catalogue",
		Long: `router runs the HTTP router beside a backend server, with basilway's own protocol and the
routes that "basilway routes apply" writes to the catalogue. Each setting is a flag or an
environment variable: BASILWAY_ROUTER_ followed by the flag in upper case, with _ for -.`,
		Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			config, err := routerConfig(settings)
			if err != nil {
				return err
			}
			return runRouter(config, settings.GetString("platform-url"), settings.GetString("log-level"))
		},
	}
	flags := cmd.Flags()
	flags.String("instance", "", "unique name of the instance")
	flags.String("zone", "", "availability zone")
	flags.String("service", "", "service of the backend server beside the router")
	flags.String("backend", "", "host:port of the backend server")
	flags.String("listen", "", "host:port for clients of the instance")
	flags.String("ready-listen", "", "host:port of the readiness check, GET /readyz")
	flags.String("announce-listen", "", "host:port for announcements of the backend server")
	flags.String("peer-listen", "", "host:port for other routers")
	flags.String("metrics-listen", "", "host:port of GET /metrics; not served if empty")
	flags.Float64("link-mbps", 0, "rate of the instance's link in Mbit/s, to which large responses are paced; 0 disables pacing")
	flags.Int64("memory-mb", 0, "memory of the process in MB, from which follows what clients may make it hold; 0: not known, 512 is assumed for that")
	flags.Bool("prefer-zone", false, "keep requests without a key in the availability zone while it is expected to answer in time")
	flags.Bool("learn-capacity", false, "learn how much load the backend server handles well, and limit its requests to that")
	flags.String("platform-url", "http://127.0.0.1:7399", "base URL of the platform's table")
	flags.String("log-level", "info", "minimum level of log lines: debug, info, warn or error")
	settings.SetEnvPrefix("BASILWAY_ROUTER")
	settings.SetEnvKeyReplacer(strings.NewReplacer("-", "_"))
	settings.AutomaticEnv()
	if err := settings.BindPFlags(flags); err != nil {
		panic(err) // only for a nil flag set
	}
	return cmd
}

// routerConfig reads and validates the settings. The error lists every problem.
func routerConfig(settings *viper.Viper) (node.Config, error) {
	var problems []error
	required := func(name string) string {
		value := settings.GetString(name)
		if value == "" {
			problems = append(problems, fmt.Errorf("--%s is missing", name))
		}
		return value
	}
	address := func(name string) string {
		value := settings.GetString(name)
		if _, _, err := net.SplitHostPort(value); err != nil {
			problems = append(problems, fmt.Errorf("--%s is %q, allowed: host:port", name, value))
		}
		return value
	}
	config := node.Config{
		Instance: required("instance"), Zone: required("zone"), Service: required("service"), BackendAddress: address("backend"),
		ClientAddress: address("listen"), ReadyAddress: address("ready-listen"), HeartbeatAddress: address("announce-listen"),
		PeerAddress: address("peer-listen"), LinkBitsPerSecond: settings.GetFloat64("link-mbps") * 1e6,
		MemoryBytes: settings.GetInt64("memory-mb") << 20,
		Protocol:    httpprotocol.Protocol{}, PreferZone: settings.GetBool("prefer-zone"), LearnCapacity: settings.GetBool("learn-capacity"),
		Bounds: node.Bounds{
			DrainTimeout: routerDrainTimeout, StopTimeout: routerStopTimeout, MaxHold: routerMaxHold,
			RetryShare: routerRetryShare, RetryWindow: routerRetryWindow, RetryExtra: routerRetryExtra,
		},
	}
	if settings.GetString("metrics-listen") != "" {
		config.MetricsAddress = address("metrics-listen")
	}
	if config.LinkBitsPerSecond < 0 {
		problems = append(problems, fmt.Errorf("--link-mbps is %v, allowed: 0 or more", settings.GetFloat64("link-mbps")))
	}
	if mb := settings.GetInt64("memory-mb"); mb != 0 && mb < minMemoryMB {
		problems = append(problems, fmt.Errorf("--memory-mb is %d, allowed: 0, or %d or more", mb, minMemoryMB))
	}
	if u, err := url.Parse(settings.GetString("platform-url")); err != nil || u.Host == "" {
		problems = append(problems, fmt.Errorf("--platform-url is %q, allowed: a URL such as http://127.0.0.1:7399", settings.GetString("platform-url")))
	}
	if len(problems) > 0 {
		return node.Config{}, errors.Join(problems...)
	}
	return config, nil
}

func runRouter(config node.Config, platformURL, level string) error {
	log, dropped, err := nodeLogger(config.Instance, level)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	limitMemory(config.MemoryBytes)
	client := connectplatform.NewClient(connectplatform.Config{URL: platformURL})
	defer client.Close()
	config.DroppedLines = dropped
	config.Store = polled.New(client, routerPollInterval)
	return runUntilSignal(log, config.Bounds.StopTimeout, func(ctx context.Context) error { return node.New(config, log).Run(ctx) })
}
