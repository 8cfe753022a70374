package connectplatform

import (
	"context"
	"time"

	"connectrpc.com/connect"

	platformv1 "github.com/basilway/basilway/gen/basilway/platform/v1"
	"github.com/basilway/basilway/metastore/memory"
)

// SetFaults replaces the faults of the stand-in. It also works while Faults.Down is set.
func (c *Client) SetFaults(ctx context.Context, f memory.Faults) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	_, err := c.faults.SetFaults(ctx, connect.NewRequest(&platformv1.SetFaultsRequest{
		Down:        f.Down,
		DelayMs:     uint32(f.Delay / time.Millisecond),
		LostAnswers: f.LostResponses,
		Failures:    f.Failures,
	}))
	return err
}

// Counts returns the number of operations of the stand-in since its start.
func (c *Client) Counts(ctx context.Context) (memory.Counts, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	res, err := c.faults.GetCounts(ctx, connect.NewRequest(&platformv1.GetCountsRequest{}))
	if err != nil {
		return memory.Counts{}, err
	}
	return memory.Counts{
		Reads:     res.Msg.GetReads(),
		Writes:    res.Msg.GetWrites(),
		Conflicts: res.Msg.GetConflicts(),
	}, nil
}
