// Package cli implements the basilway command.
package cli

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"
	"github.com/spf13/viper"

	"github.com/basilway/basilway/gen/basilway/v1/basilwayv1connect"
	"github.com/basilway/basilway/internal/httpclient"
)

// defaultDaemon is the base URL at which a daemon listens by default.
const defaultDaemon = "http://127.0.0.1:7400"

// defaultPlatform is the default base URL of the platform's table.
const defaultPlatform = "http://127.0.0.1:7399"

// options holds the settings that all commands share.
type options struct {
	settings *viper.Viper
}

// NewRootCommand returns the basilway command. Settings are read from flags and from
// environment variables: BASILWAY_ followed by the flag in upper case, with _ for -.
func NewRootCommand() *cobra.Command {
	o := &options{settings: viper.New()}
	o.settings.SetEnvPrefix("BASILWAY")
	o.settings.SetEnvKeyReplacer(strings.NewReplacer("-", "_"))
	o.settings.AutomaticEnv()
	root := &cobra.Command{
		Use:           "basilway",
		Short:         "Manage basilway daemons and send requests to services",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(cmd *cobra.Command, _ []string) error {
			return o.validate()
		},
	}
	flags := root.PersistentFlags()
	flags.String("daemon", defaultDaemon, "base URL of a daemon (BASILWAY_DAEMON)")
	flags.String("platform-url", defaultPlatform, "base URL of the platform's table, for routes (BASILWAY_PLATFORM_URL)")
	flags.String("key", "", "operator key (BASILWAY_KEY)")
	flags.Duration("timeout", 10*time.Second, "time limit of the command (BASILWAY_TIMEOUT)")
	flags.StringP("output", "o", "text", `output format, "text" or "json" (BASILWAY_OUTPUT)`)
	if err := o.settings.BindPFlags(flags); err != nil {
		panic(err) // only for a nil flag set
	}
	root.AddCommand(newCatalogueCommand(o), newStatusCommand(o), newOwnersCommand(o),
		newDrainCommand(o), newFenceCommand(o), newCallCommand(o), newRoutesCommand(o), newConfigCommand(o), newExplainCommand())
	return root
}

// Execute runs the command and returns the exit code: 0 for success, 1 for a failed
// command, 2 for invalid usage.
func Execute() int {
	root := NewRootCommand()
	err := root.Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "basilway:", describe(err))
	return exitCode(err)
}

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	var usage *usageError
	if asUsageError(err, &usage) || strings.HasPrefix(err.Error(), "unknown ") {
		return 2
	}
	return 1
}

func (o *options) validate() error {
	if out := o.settings.GetString("output"); out != "text" && out != "json" {
		return &usageError{fmt.Sprintf(`--output is %q, allowed: "text" or "json"`, out)}
	}
	if d := o.settings.GetDuration("timeout"); d <= 0 {
		return &usageError{fmt.Sprintf("--timeout is %v, allowed: a positive duration such as 10s", d)}
	}
	if url := o.settings.GetString("daemon"); !strings.HasPrefix(url, "http://") && !strings.HasPrefix(url, "https://") {
		return &usageError{fmt.Sprintf("--daemon is %q, allowed: a URL such as %s", url, defaultDaemon)}
	}
	return nil
}

func (o *options) context(cmd *cobra.Command) (context.Context, context.CancelFunc) {
	return context.WithTimeout(cmd.Context(), o.settings.GetDuration("timeout"))
}

func (o *options) json() bool { return o.settings.GetString("output") == "json" }

// daemonClient sends the calls to daemons.
var daemonClient = &http.Client{Transport: httpclient.Transport{Base: http.DefaultTransport}}

// maxAnswerBytes is the largest answer of a daemon that is read.
const maxAnswerBytes = 32 << 20

var answerLimit = connect.WithReadMaxBytes(maxAnswerBytes)

func (o *options) catalogue() basilwayv1connect.CatalogueServiceClient {
	return basilwayv1connect.NewCatalogueServiceClient(daemonClient, o.settings.GetString("daemon"), o.withKey(), answerLimit)
}

func (o *options) admin() basilwayv1connect.AdminServiceClient {
	return basilwayv1connect.NewAdminServiceClient(daemonClient, o.settings.GetString("daemon"), o.withKey(), answerLimit)
}

func (o *options) router() basilwayv1connect.RouterServiceClient {
	return basilwayv1connect.NewRouterServiceClient(daemonClient, o.settings.GetString("daemon"), answerLimit)
}

// withKey sends the operator key with each request.
func (o *options) withKey() connect.Option {
	key := o.settings.GetString("key")
	return connect.WithInterceptors(connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			if key != "" {
				req.Header().Set("Authorization", "Bearer "+key)
			}
			return next(ctx, req)
		}
	}))
}
