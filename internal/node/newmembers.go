package node

import (
	"context"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// maxParallelSyncs is the number of new members that the planner exchanges rows with at the same time.
const maxParallelSyncs = 8

// runNewMembers exchanges rows with each member that is new to this node, while it is the planner. A
// node that has just started may know nothing but its own row, and so reads no rows from the store again.
func (g *rowGossip) runNewMembers(ctx context.Context) {
	known := map[string]bool{}
	for ctx.Err() == nil {
		view, changed := g.node.views.get()
		if view.Planner.Instance != g.node.config.Instance {
			clear(known)
		} else {
			g.syncWithNew(ctx, known)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (g *rowGossip) syncWithNew(ctx context.Context, known map[string]bool) {
	var syncs errgroup.Group
	syncs.SetLimit(maxParallelSyncs)
	for _, peer := range g.reachablePeers() {
		if known[peer.instance] {
			continue
		}
		known[peer.instance] = true
		syncs.Go(func() error {
			if err := g.syncWith(ctx, peer.address); err != nil && ctx.Err() == nil {
				g.log.Debug("rows not exchanged with a new member", zap.String("address", peer.address), zap.Error(err))
			}
			return nil
		})
	}
	_ = syncs.Wait() // failures are logged
}
