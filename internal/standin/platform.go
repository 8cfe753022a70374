package standin

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"github.com/basilway/basilway/internal/connectplatform"
	"github.com/basilway/basilway/metastore/memory"
)

func newPlatformCommand() *cobra.Command {
	var listen string
	var rates memory.Rates
	var seed uint64
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Runs the transactional table and the object store in memory",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if !cmd.Flags().Changed("seed") {
				seed = rand.Uint64()
			}
			listener, err := net.Listen("tcp", listen)
			if err != nil {
				return trace.Wrap(err)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "platform listening on %s seed %d\n", listener.Addr(), seed)
			return serve(cmd.Context(), listener, connectplatform.NewHandler(memory.New(rates, seed)))
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:7100", "address to listen on")
	flags.Float64Var(&rates.Reads, "reads-per-second", 2000, "maximum reads per second; no limit if 0")
	flags.Float64Var(&rates.Writes, "writes-per-second", 300, "maximum writes per second; no limit if 0")
	flags.Uint64Var(&seed, "seed", 0, "seed of the random faults; random if not set")
	return cmd
}
