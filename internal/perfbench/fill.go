package perfbench

import (
	"context"
	"fmt"
	"math"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/feed"
	"github.com/basilway/basilway/internal/connectplatform"
	"github.com/basilway/basilway/metastore"
)

// rangesPerMember is the number of ranges that the planner keeps for each member in a large
// cluster.
const rangesPerMember = 8

// Fill appends members that do not run, and ranges that they own, to the cluster feed, which
// must be empty. This way one daemon suffices to measure the cost of the cluster state at
// that size. The addresses of the members are on loopback, and nothing listens there.
func Fill(ctx context.Context, platformURL string, members int) error {
	client := connectplatform.NewClient(connectplatform.Config{URL: platformURL})
	defer client.Close()
	var entries []cluster.Entry
	sessions := make([]cluster.Session, members)
	for i := range sessions {
		sessions[i] = cluster.Session{Instance: fmt.Sprintf("filled-%05d", i), Incarnation: uint64(i) + 1}
		entries = append(entries, cluster.Entry{Kind: cluster.EntryMemberJoined, Member: &cluster.Member{
			Session: sessions[i], Address: fmt.Sprintf("127.1.%d.%d:9", i/250, i%250+1),
			Zone: fmt.Sprintf("region-%d/zone-%d", i%6, i%22), Service: "filled", Slots: 9,
		}})
	}
	count := uint64(members * rangesPerMember)
	step := math.MaxUint64/count + 1
	for i := range count {
		entries = append(entries, cluster.Entry{
			Kind: cluster.EntryOwnerSet, Unit: cluster.Unit{Service: "filled", Start: i * step},
			Session: sessions[i%uint64(members)],
		})
	}
	body, err := cluster.EncodeEntries(entries)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = feed.NewWriter(client).Append(ctx, feed.TopicCluster, 0, body, metastore.Txn{})
	return trace.Wrap(err)
}

func fillCommand() *cobra.Command {
	var url string
	var members int
	cmd := &cobra.Command{
		Use: "fill", Short: "Appends members that do not run to an empty cluster feed", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return Fill(cmd.Context(), url, members) },
	}
	cmd.Flags().StringVar(&url, "platform-url", "http://127.0.0.1:7399", "base URL of the platform stand-in")
	cmd.Flags().IntVar(&members, "members", 1900, "number of members")
	return cmd
}
