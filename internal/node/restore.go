package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/keyrange"
	"github.com/basilway/basilway/metastore"
)

const (
	// restoreDelay is the time over which the nodes spread their reads when the store went
	// back, and restoreDelayPerMember its least value for each member, so that many nodes keep
	// within the store's rates.
	restoreDelay          = 200 * time.Millisecond
	restoreDelayPerMember = time.Millisecond
	// restoreRetryInterval is the pause after a failed read.
	restoreRetryInterval = 250 * time.Millisecond
	// rewriteDelay is how long nodes wait for the planner to write lost key tables again.
	rewriteDelay = 500 * time.Millisecond
	// plannerConfirmWait is how long nodes wait for the planner to record the ranges that they
	// vouch for in their reports: two reports and a write. The owners' own writes conflict with
	// each other, because many of them share a row.
	plannerConfirmWait = 1200 * time.Millisecond
)

// enterGeneration is called with the view before the first rows of a later generation of the
// store are applied.
func (n *Node) enterGeneration(generation uint64, before *View) {
	leased := n.now().Before(n.lease.validUntil())
	from := n.generation.generation()
	n.generation.enter(generation, before, leased)
	if before.Listed || before.Routes != nil {
		n.metrics.storeRollbacks.Inc()
		n.log.Warn("the store went back to an earlier state", zap.Uint64("from generation", from), zap.Uint64("to generation", generation),
			zap.Bool("vouching for own keys", leased))
	}
}

// runRestore reads the cluster's rows whenever the store went back, so that the node writes
// again what was lost of its own. The planner then writes again the key tables that are still
// missing, because their owners have restarted, and the others do if the planner didn't.
func (n *Node) runRestore(ctx context.Context) {
	settled := time.NewTimer(0)
	<-settled.C
	for {
		select {
		case <-n.generation.entered:
			settled.Reset(settleTime)
		case <-settled.C:
			n.views.dropLostMembers()
			n.views.dropLostEvacuations()
			continue
		case <-ctx.Done():
			return
		}
		view := n.views.current()
		if view.Planner.Instance != n.config.Instance {
			sleep(ctx, jitter(max(restoreDelay, time.Duration(len(view.Members))*restoreDelayPerMember)))
		}
		for ctx.Err() == nil {
			listing, err := n.store.List(ctx, clusterTable)
			if err == nil {
				n.views.replace(clusterTable, listing)
				n.backend.wake()
				n.rewriteLostTables(ctx)
				break
			}
			n.log.Debug("cluster not read after the store went back", zap.Error(err))
			sleep(ctx, jitter(restoreRetryInterval))
		}
	}
}

// rewriteLostTables writes the key tables again that the store lost and nobody has written yet.
func (n *Node) rewriteLostTables(ctx context.Context) {
	if n.views.current().Planner.Instance != n.config.Instance {
		sleep(ctx, rewriteDelay+jitter(rewriteDelay))
	}
	for service := range n.views.current().Keys {
		rewritten := 0
		err := n.writer.update(ctx, service, func(t *keyrange.Space) (*keyrange.Space, metastore.Txn, error) {
			lost := n.views.lostBuckets(service)
			if rewritten = len(lost); rewritten == 0 {
				return nil, metastore.Txn{}, errNoChange
			}
			for _, bucket := range lost {
				t = t.Rewrite(bucket)
			}
			return t, metastore.Txn{}, nil
		})
		if rewritten > 0 || err != nil {
			n.log.Info("lost key tables written again", zap.String("service", service), zap.Int("tables", rewritten),
				zap.Uint64("generation", n.generation.generation()), zap.Error(err))
		}
	}
}

// restored reports whether the node's keys are recorded in the generation of version, so that a
// renewal at that version may extend its lease. Without that, another node might take keys that
// this one goes on granting.
func (n *Node) restored(version uint64) bool {
	n.views.observeGeneration(version)
	if !n.generation.isVouching() {
		return true
	}
	if !n.now().Before(n.lease.validUntil()) {
		n.generation.stopVouching()
		return true
	}
	view := n.views.current()
	space, ok := view.Keys[n.config.Service]
	if !ok {
		return true
	}
	current := n.generation.generation()
	for _, r := range space.Ranges() {
		if r.Owner.Instance == n.config.Instance && n.generation.vouches(n.config.Service, r) && !space.SettledIn(current, r.From) {
			return false
		}
	}
	return true
}
