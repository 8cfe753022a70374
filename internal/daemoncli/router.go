package daemoncli

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/url"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/viper"

	"github.com/basilway/basilway/internal/connectplatform"
	"github.com/basilway/basilway/internal/node"
	"github.com/basilway/basilway/internal/ownprotocol"
	"github.com/basilway/basilway/metastore/polled"
)

const (
	// routerPoll is the time between two reads of a table that is followed; the routes are
	// in force within it.
	routerPoll = 200 * time.Millisecond
	// Limits of a deployment of its own, where no platform states any: a backend server
	// leaves within routerDrain, a router ends within routerStop, holds last routerMaxHold
	// at most, and repeats are bounded to a fifth of the requests.
	routerDrain       = 2500 * time.Millisecond
	routerStop        = 6 * time.Second
	routerMaxHold     = 10 * time.Second
	routerRetryShare  = 0.2
	routerRetryWindow = 10 * time.Second
	routerRetryExtra  = 60
)

// routerCommand returns the command that runs the HTTP router without the users' platform.
func routerCommand() *cobra.Command {
	settings := viper.New()
	cmd := &cobra.Command{
		Use:   "router",
		Short: "Route HTTP requests by the routes of the catalogue",
		Long: `router runs the HTTP router beside a backend server, with basilway's own protocol and the
routes that "basilway routes apply" puts into the catalogue. Each setting is a flag or an
environment variable named BASILWAY_ROUTER_ and the flag in upper case.`,
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
	flags.String("metrics-listen", "", "host:port of GET /metrics; none if empty")
	flags.Float64("link-mbps", 0, "rate of the instance's link in Mbit/s, by which large answers are paced; 0 for no pacing")
	flags.String("platform-url", "http://127.0.0.1:7399", "base URL of the platform's table")
	flags.String("log-level", "info", "least level of log lines: debug, info, warn or error")
	settings.SetEnvPrefix("BASILWAY_ROUTER")
	settings.SetEnvKeyReplacer(strings.NewReplacer("-", "_"))
	settings.AutomaticEnv()
	if err := settings.BindPFlags(flags); err != nil {
		panic(err) // only for a nil flag set
	}
	return cmd
}

// routerConfig reads the settings. The error names every fault.
func routerConfig(settings *viper.Viper) (node.Config, error) {
	var faults []error
	text := func(name string) string {
		value := settings.GetString(name)
		if value == "" {
			faults = append(faults, fmt.Errorf("--%s is missing", name))
		}
		return value
	}
	address := func(name string) string {
		value := settings.GetString(name)
		if _, _, err := net.SplitHostPort(value); err != nil {
			faults = append(faults, fmt.Errorf("--%s is %q, allowed: host:port", name, value))
		}
		return value
	}
	config := node.Config{
		Instance: text("instance"), Zone: text("zone"), Service: text("service"), BackendAddress: address("backend"),
		ClientAddress: address("listen"), ReadyAddress: address("ready-listen"), HeartbeatAddress: address("announce-listen"),
		PeerAddress: address("peer-listen"), LinkBitsPerSecond: settings.GetFloat64("link-mbps") * 1e6,
		Protocol: ownprotocol.Protocol{},
		Bounds: node.Bounds{
			DrainTimeout: routerDrain, StopTimeout: routerStop, MaxHold: routerMaxHold,
			RetryShare: routerRetryShare, RetryWindow: routerRetryWindow, RetryExtra: routerRetryExtra,
		},
	}
	if settings.GetString("metrics-listen") != "" {
		config.MetricsAddress = address("metrics-listen")
	}
	if config.LinkBitsPerSecond < 0 {
		faults = append(faults, fmt.Errorf("--link-mbps is %v, allowed: 0 or more", settings.GetFloat64("link-mbps")))
	}
	if u, err := url.Parse(settings.GetString("platform-url")); err != nil || u.Host == "" {
		faults = append(faults, fmt.Errorf("--platform-url is %q, allowed: a URL such as http://127.0.0.1:7399", settings.GetString("platform-url")))
	}
	if len(faults) > 0 {
		return node.Config{}, errors.Join(faults...)
	}
	return config, nil
}

func runRouter(config node.Config, platformURL, level string) error {
	log, dropped, err := nodeLogger(config.Instance, level)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	client := connectplatform.NewClient(connectplatform.Config{URL: platformURL})
	defer client.Close()
	config.DroppedLines = dropped
	config.Store = polled.New(client, routerPoll)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return node.New(config, log).Run(ctx)
}
