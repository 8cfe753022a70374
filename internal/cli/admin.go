package cli

import (
	"fmt"
	"io"
	"strconv"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	basilwayv1 "github.com/basilway/basilway/gen/basilway/v1"
)

func newStatusCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show the state of a daemon and the cluster members that it knows",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := o.context(cmd)
			defer cancel()
			response, err := o.admin().GetStatus(ctx, connect.NewRequest(&basilwayv1.GetStatusRequest{}))
			if err != nil {
				return err
			}
			if o.json() {
				return writeJSON(cmd.OutOrStdout(), response.Msg)
			}
			return writeStatus(cmd.OutOrStdout(), response.Msg)
		},
	}
}

func writeStatus(w io.Writer, s *basilwayv1.GetStatusResponse) error {
	properties := [][]string{
		{"instance", s.Instance + "/" + s.Incarnation},
		{"availability zone", s.Zone},
		{"lease", fmt.Sprintf("%s, %d ms left, %d witnesses", s.LeaseState, s.LeaseRemainingMs, s.LeaseWitnesses)},
		{"backend server", s.BackendState},
		{"draining", strconv.FormatBool(s.Draining)},
		{"units owned", strconv.FormatUint(uint64(s.RangesOwned), 10)},
		{"requests in flight", strconv.FormatUint(uint64(s.RequestsInFlight), 10)},
		{"cluster version", strconv.FormatUint(s.ClusterVersion, 10)},
		{"catalogue version", strconv.FormatUint(s.CatalogueVersion, 10)},
		{"planner", s.Planner},
		{"store reachable", strconv.FormatBool(s.StoreReachable)},
	}
	if err := writeTable(w, properties); err != nil {
		return err
	}
	fmt.Fprintln(w)
	rows := [][]string{{"INSTANCE", "INCARNATION", "ADDRESS", "ZONE", "SERVICE", "SLOTS", "STATE"}}
	for _, m := range s.Members {
		rows = append(rows, []string{m.Instance, m.Incarnation, m.Address, m.Zone, m.Service,
			strconv.FormatUint(uint64(m.Slots), 10), m.State})
	}
	return writeTable(w, rows)
}

func newOwnersCommand(o *options) *cobra.Command {
	var key string
	cmd := &cobra.Command{
		Use:   "owners SERVICE",
		Short: "Show which instance owns which keys",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := o.context(cmd)
			defer cancel()
			request := &basilwayv1.GetOwnersRequest{Service: args[0], Key: key}
			response, err := o.admin().GetOwners(ctx, connect.NewRequest(request))
			if err != nil {
				return err
			}
			if o.json() {
				return writeJSON(cmd.OutOrStdout(), response.Msg)
			}
			return writeOwners(cmd.OutOrStdout(), response.Msg.Ranges)
		},
	}
	cmd.Flags().StringVar(&key, "for-key", "", "show only the owner of this key")
	return cmd
}

func writeOwners(w io.Writer, ranges []*basilwayv1.RangeOwner) error {
	rows := [][]string{{"SERVICE", "START", "KIND", "INSTANCE", "EPOCH", "MOVING TO"}}
	for _, r := range ranges {
		kind := "range"
		if r.HotKey {
			kind = "hot key"
		}
		rows = append(rows, []string{r.Service, fmt.Sprintf("%016x", r.Start), kind, r.Instance,
			strconv.FormatUint(r.Epoch, 10), r.MovingTo})
	}
	return writeTable(w, rows)
}

func newDrainCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "drain",
		Short: "Move all keys of the daemon to others and assign it no new ones",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := o.context(cmd)
			defer cancel()
			response, err := o.admin().Drain(ctx, connect.NewRequest(&basilwayv1.DrainRequest{}))
			if err != nil {
				return err
			}
			if o.json() {
				return writeJSON(cmd.OutOrStdout(), response.Msg)
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%d units left\n", response.Msg.RangesLeft)
			return err
		},
	}
}

func newFenceCommand(o *options) *cobra.Command {
	var zone string
	var confirmed bool
	cmd := &cobra.Command{
		Use:   "fence [INSTANCE]",
		Short: "Declare that an instance or a whole availability zone has stopped",
		Long: `Declare that an instance, or every instance of an availability zone, has stopped, so
that others may own its keys. This is needed only if an instance is lost together with
most of its witnesses. If a fenced instance still runs, keys can have two owners.`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if (firstArg(args) == "") == (zone == "") {
				return &usageError{"either INSTANCE or --zone is required, not both"}
			}
			if !confirmed {
				return &usageError{"--confirm-stopped is required: make sure that the fenced instances have stopped"}
			}
			ctx, cancel := o.context(cmd)
			defer cancel()
			request := &basilwayv1.FenceRequest{Instance: firstArg(args), Zone: zone}
			response, err := o.admin().Fence(ctx, connect.NewRequest(request))
			if err != nil {
				return err
			}
			if o.json() {
				return writeJSON(cmd.OutOrStdout(), response.Msg)
			}
			for _, session := range response.Msg.Fenced {
				fmt.Fprintln(cmd.OutOrStdout(), "fenced", session)
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&zone, "zone", "", "fence every instance of this availability zone")
	cmd.Flags().BoolVar(&confirmed, "confirm-stopped", false, "confirm that the fenced instances have stopped")
	return cmd
}
