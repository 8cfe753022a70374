package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/lease"
	"github.com/basilway/basilway/metastore"
	"github.com/basilway/basilway/ownership"
	"github.com/basilway/basilway/planner"
)

// planBatch is one transaction of the planner: fences of lost sessions, ends of moves and
// new moves.
type planBatch struct {
	worker   *planWorker
	fences   []lease.CommitFence
	released []ownership.Released
	plan     bool
}

// commit commits the batch and passes the outcome to the takeovers of its fences. It runs
// in its own goroutine; planWorker.committing is set until it ends.
func (b *planBatch) commit() {
	w := b.worker
	ctx, cancel := context.WithTimeout(w.baseCtx, planCommitTimeout)
	defer cancel()
	err := w.writer.update(ctx, b.build)
	outcome := lease.OutcomeOf(err)
	if err != nil {
		w.log.Warn("planner commit failed", zap.Int("fences", len(b.fences)), zap.Error(err))
	}
	_ = w.mailbox.do(w.baseCtx, func() {
		w.committing = false
		for _, f := range b.fences {
			t := w.takeovers[f.Session]
			if t == nil {
				continue
			}
			w.performTakeover(f.Session, t, t.machine.Handle(time.Now(), lease.Committed{Attempt: f.Attempt, Outcome: outcome}))
		}
	})
}

// build returns the entries for a state. Releases come first, so that the plan takes into
// account the moves that end.
func (b *planBatch) build(state *cluster.State) ([]cluster.Entry, metastore.Txn, error) {
	if state.Planner != b.worker.session {
		return nil, metastore.Txn{}, metastore.ErrConflict
	}
	var extra metastore.Txn
	var losses planner.Losses
	for _, f := range b.fences {
		extra.Conditions = append(extra.Conditions, f.Conditions...)
		extra.Writes = append(extra.Writes, f.Writes...)
		losses.Fenced = append(losses.Fenced, f.Session)
	}
	now := time.Now()
	losses.FloorMS = now.Add(ownership.DefaultFloorMargin).UnixMilli()
	entries := b.endedMoves(state)
	if !b.plan {
		return entries, extra, nil
	}
	next, err := state.Next(state.Version+1, entries)
	if err != nil {
		return nil, extra, err
	}
	// The load model must not mistake the intermediate state for the next version.
	next.Version = state.Version
	// The load model is used only in the mailbox's goroutine.
	var planned []cluster.Entry
	err = b.worker.mailbox.do(b.worker.baseCtx, func() {
		begin := time.Now()
		b.worker.load.Sync(state, now)
		planned = planner.Plan(next, b.worker.load, b.worker.config, losses, now)
		b.worker.onPlan(time.Since(begin), len(planned))
	})
	if err != nil {
		return nil, extra, err
	}
	return append(entries, planned...), extra, nil
}

func (b *planBatch) endedMoves(state *cluster.State) []cluster.Entry {
	var entries []cluster.Entry
	for _, m := range b.released {
		if releaseMatchesMove(state, m) {
			entries = append(entries, cluster.Entry{Kind: cluster.EntryOwnerSet, Unit: m.Unit, Session: m.To})
		}
	}
	return entries
}
