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

// planBatch is one transaction of the planner: fences of lost sessions, ends of moves
// and new moves.
type planBatch struct {
	duty     *planDuty
	fences   []lease.CommitFence
	released []ownership.Released
	plan     bool
}

// commit runs beside the duty, which is busy until it ends.
func (b *planBatch) commit() {
	d := b.duty
	ctx, cancel := context.WithTimeout(d.life, planCommitTimeout)
	defer cancel()
	err := d.writer.update(ctx, b.build)
	outcome := lease.OutcomeOf(err)
	if err != nil {
		d.log.Warn("planner's commit failed", zap.Int("fences", len(b.fences)), zap.Error(err))
	}
	_ = d.box.do(d.life, func() {
		d.busy = false
		for _, f := range b.fences {
			t := d.takeovers[f.Session]
			if t == nil {
				continue
			}
			d.performTakeover(f.Session, t, t.machine.Handle(time.Now(), lease.Committed{Attempt: f.Attempt, Outcome: outcome}))
		}
	})
}

// build returns the entries for a state. Releases come first, so that the plan sees
// the moves that end.
func (b *planBatch) build(state *cluster.State) ([]cluster.Entry, metastore.Txn, error) {
	if state.Planner != b.duty.session {
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
	// The load model must not take the intermediate state for the version to come.
	next.Version = state.Version
	// The model is used by the mailbox's goroutine, too.
	var planned []cluster.Entry
	err = b.duty.box.do(b.duty.life, func() {
		begin := time.Now()
		b.duty.load.Sync(state, now)
		planned = planner.Plan(next, b.duty.load, b.duty.config, losses, now)
		b.duty.onPlan(time.Since(begin), len(planned))
	})
	if err != nil {
		return nil, extra, err
	}
	return append(entries, planned...), extra, nil
}

func (b *planBatch) endedMoves(state *cluster.State) []cluster.Entry {
	var entries []cluster.Entry
	for _, m := range b.released {
		if releaseHolds(state, m) {
			entries = append(entries, cluster.Entry{Kind: cluster.EntryOwnerSet, Unit: m.Unit, Session: m.To})
		}
	}
	return entries
}
