package standin

import (
	"encoding/json"
	"time"

	"github.com/spf13/cobra"

	"github.com/basilway/basilway/internal/loadgen"
)

func newCallerCommand() *cobra.Command {
	var cfg loadgen.Config
	cmd := &cobra.Command{
		Use:   "caller",
		Short: "Sends requests to daemons or to a backend server and prints the measurements as JSON",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			result, err := loadgen.Run(cmd.Context(), cfg)
			if err != nil {
				return err
			}
			encoder := json.NewEncoder(cmd.OutOrStdout())
			encoder.SetIndent("", "  ")
			return encoder.Encode(result)
		},
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&cfg.URLs, "url", nil, "base URLs of daemons, or of one backend server with --direct")
	flags.BoolVar(&cfg.Direct, "direct", false, "call the backend server without a daemon")
	flags.StringVar(&cfg.Service, "service", "booking", "name of the service")
	flags.StringVar(&cfg.Method, "method", "echo", "method of the requests")
	flags.StringVar(&cfg.Team, "team", "", "team of the requests; the service's owner if empty")
	flags.IntVar(&cfg.Keys, "keys", 1000, "number of different keys")
	flags.StringVar(&cfg.KeyPrefix, "key-prefix", "key-", "text before the number of each key")
	flags.IntVar(&cfg.PayloadBytes, "payload-bytes", 64, "size of each payload")
	flags.StringVar(&cfg.Payload, "payload", "", "payload to send instead of one of --payload-bytes")
	flags.BoolVar(&cfg.Idempotent, "idempotent", false, "mark the requests as idempotent")
	flags.IntVar(&cfg.Workers, "workers", 16, "number of concurrent callers; each sends one request at a time")
	flags.Float64Var(&cfg.RatePerSecond, "rate", 0, "total requests per second; as many as possible if 0")
	flags.DurationVar(&cfg.Duration, "duration", 5*time.Second, "length of the run")
	flags.DurationVar(&cfg.Timeout, "timeout", 2*time.Second, "time limit of each request")
	flags.Uint64Var(&cfg.Seed, "seed", 1, "seed of the keys")
	return cmd
}
