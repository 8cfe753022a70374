package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/basilway/basilway/grant"
	"github.com/basilway/basilway/metastore"
)

// reconcileInterval is the interval at which runReconcile checks for missing heartbeats and
// retries failed writes.
const reconcileInterval = 500 * time.Millisecond

// reconcileRetryDelay is the pause after a failed write.
const reconcileRetryDelay = 1200 * time.Millisecond

// runReconcile writes what is known of the backend server to the store: its state, the keys
// that it released or lost, and strikes. It compares the actual state with the stored one,
// so a failed write is repeated at a later tick.
func (b *backend) runReconcile(ctx context.Context) {
	starting := func(v *View) bool {
		return !v.Listed || v.Routes == nil || b.node.evacuation.Enabled() && !v.EvacuationsKnown
	}
	for view, changed := b.node.views.get(); starting(view) && ctx.Err() == nil; view, changed = b.node.views.get() {
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	b.adopt(ctx)
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	var lastFailure time.Time
	for ctx.Err() == nil {
		select {
		case <-b.wakeup:
			b.checkClosed(ctx)
		case <-ticker.C:
			b.checkHeartbeats(ctx)
		case <-ctx.Done():
			return
		}
		if time.Since(lastFailure) < reconcileRetryDelay {
			continue
		}
		if err := b.reconcile(ctx); err != nil && ctx.Err() == nil {
			lastFailure = time.Now()
			b.log.Warn("backend server state not written", zap.Error(err))
		}
	}
}

// checkHeartbeats checks whether a backend server that sends no heartbeats has ended.
func (b *backend) checkHeartbeats(ctx context.Context) {
	b.mu.Lock()
	state, tracker, now := b.state, b.tracker, b.node.now()
	silent := now.Sub(b.lastHeartbeatAt)
	if tracker == nil {
		silent = now.Sub(b.started)
	}
	b.mu.Unlock()
	b.checkClosed(ctx)
	if silent < heartbeatTimeout || state == BackendDown {
		return
	}
	if tracker == nil {
		b.dropEarlier(ctx, now)
		return
	}
	if b.portRefused(ctx) {
		b.recordPortClosed()
		return
	}
	sharded := b.sharded()
	if sharded && now.After(tracker.Until()) {
		b.markDown(tracker.Owner(), "silent, and its holds expired")
	}
	if !sharded && silent > heartbeatTimeout+leaseDuration/2 {
		b.markDown(tracker.Owner(), "silent")
	}
}

func (b *backend) sharded() bool {
	routes := b.node.views.current().Routes
	if routes == nil {
		return false
	}
	service, _ := routes.Service(b.node.config.Service)
	return service.Sharded
}

// reconcile writes the state of the backend server to the store where it differs. It does
// nothing without a lease.
func (b *backend) reconcile(ctx context.Context) error {
	view := b.node.views.current()
	if !view.Listed || b.node.lease.validUntil().IsZero() {
		return nil
	}
	if err := b.writeStrikes(ctx); err != nil {
		return err
	}
	b.mu.Lock()
	b.learnRecordedLeave()
	if b.tracker == nil {
		leaving, id := !b.leaveAcked.IsZero(), b.leavingID
		b.mu.Unlock()
		if m, ok := view.Members[b.node.config.Instance]; ok && leaving && !m.Leaving && grant.IncarnationID(m.Owner.Incarnation) == id {
			if m.State == BackendReady {
				m.State = BackendDraining
			}
			m.Leaving, m.version, m.Generation = true, 0, b.node.generation.generation()
			return b.writeMember(ctx, m)
		}
		return nil
	}
	want := b.member()
	completed := append([]grant.CompletedMove(nil), b.completed...)
	b.mu.Unlock()
	if b.node.moves.submit(ctx, completedMoves{Owner: want.Owner, Service: want.Service, Generation: want.Generation, Moves: completed}) {
		b.dropCompleted(want.Owner, len(completed))
		completed = nil
	}
	if err := b.writeKeys(ctx, want, completed); err != nil {
		return err
	}
	b.mu.Lock()
	now := b.member()
	b.mu.Unlock()
	if now.Owner != want.Owner {
		b.wake() // the keys of a new incarnation are written before its row
		return nil
	}
	return b.writeMember(ctx, now)
}

// member returns the member row for what is known of the backend server, after its first heartbeat. b.mu
// must be held.
func (b *backend) member() Member {
	return Member{
		Owner: b.tracker.Owner(), Address: b.node.config.PeerAddress, Zone: b.node.config.Zone,
		Service: b.node.config.Service, Slots: b.lastHeartbeat.Slots, State: b.state, Generation: b.node.generation.generation(), Cores: b.node.config.Cores,
		Leaving: !b.leaveAcked.IsZero(),
	}
}

// writeMember writes the member row if it differs from want.
func (b *backend) writeMember(ctx context.Context, want Member) error {
	view := b.node.views.current()
	have := view.Members[want.Owner.Instance]
	version := have.version
	have.version = 0
	unreadable, isUnreadable := view.unreadableMembers[want.Owner.Instance]
	if have == want && !isUnreadable {
		return nil
	}
	if isUnreadable {
		version = unreadable
		b.log.Warn("member row was overwritten by another writer; writing it again", zap.Uint64("version", version))
	}
	value, err := cbor.Marshal(want)
	if err != nil {
		return fmt.Errorf("encode member row: %w", err)
	}
	key := memberKey(want.Owner.Instance)
	applied, err := b.node.store.Apply(ctx, metastore.Txn{
		Conditions: []metastore.Condition{{Key: key, Version: version}},
		Writes:     []metastore.Write{{Key: key, Value: value}},
	})
	if errors.Is(err, metastore.ErrConflict) || errors.Is(err, metastore.ErrUnknown) {
		return b.relist(ctx, err)
	}
	if err != nil {
		return err
	}
	b.node.views.apply(metastore.Row{Key: key, Value: value, Version: applied.Version})
	if version == 0 {
		return b.learnMembers(ctx)
	}
	return nil
}

// plannerContactWait is how long a new member waits for the planner, which exchanges rows with new
// members.
const plannerContactWait = 1500 * time.Millisecond

// learnMembers brings the view up to date after the first write of the member row: nodes that started
// at the same time may have written theirs meanwhile. The planner sends them; without one, the store
// is read.
func (b *backend) learnMembers(ctx context.Context) error {
	timer := time.NewTimer(plannerContactWait)
	defer timer.Stop()
	for {
		view, changed := b.node.views.get()
		if _, known := view.Members[view.Planner.Instance]; known {
			b.wake()
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return b.relist(ctx, nil)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// relist refreshes the view after a write whose outcome the view does not show. If that
// fails too, it returns both errors.
func (b *backend) relist(ctx context.Context, cause error) error {
	listing, err := b.node.store.List(ctx, clusterTable)
	if err != nil {
		return errors.Join(cause, err)
	}
	b.node.views.replace(clusterTable, listing)
	b.wake()
	return nil
}
