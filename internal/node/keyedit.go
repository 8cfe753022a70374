package node

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"github.com/basilway/basilway/grant"
	"github.com/basilway/basilway/keyrange"
	"github.com/basilway/basilway/metastore"
)

// writeKeys records in the key table which keys the backend server released, lost or took
// over from its earlier incarnation. Each try goes by the backend server's state at that time.
func (b *backend) writeKeys(ctx context.Context, m Member, completed []grant.CompletedMove) error {
	table, ok := b.node.views.current().Keys[m.Service]
	if !ok {
		return nil
	}
	authority := b.authority()
	change := func(t *keyrange.Space, m Member) (*keyrange.Space, bool) {
		next, changed := editKeys(t, m, completed, authority)
		joined := b.coalesce(next, m, authority.generation)
		return joined, changed || joined != next
	}
	edit := func(t *keyrange.Space) (*keyrange.Space, metastore.Txn, error) {
		m := b.beginKeyEdit(t)
		next, changed := change(t, m)
		switch {
		case !changed:
			return nil, metastore.Txn{}, errNoChange
		case m.State == BackendDown:
			// The next process may grant the keys before this write takes effect.
			condition, err := b.node.lease.condition()
			return next, metastore.Txn{Conditions: []metastore.Condition{condition}}, err
		}
		return next, metastore.Txn{}, nil
	}
	if _, changed := change(table.Space, m); changed || b.withholdsKeys() || table.isUnreadableFor(m.Owner) {
		tried := func(err error) { b.dropTried(m.Owner, err) }
		if err := b.node.writer.perform(ctx, keyUpdate{service: m.Service, edit: edit, tried: tried}); err != nil {
			return err
		}
	}
	b.dropCompleted(m.Owner, len(completed))
	return nil
}

// beginKeyEdit returns the member row that an edit of t goes by: the present one, or one that is down while an
// earlier try to drop the keys may still take effect. If it is down, the keys are withheld from their owner until
// the outcome is known.
func (b *backend) beginKeyEdit(t *keyrange.Space) Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.member()
	if !slices.Contains(t.Owners(), m.Owner) {
		b.drops.ended(m.Owner)
		return m
	}
	if b.drops.uncertain(m.Owner) {
		m.State = BackendDown
	}
	if m.State == BackendDown {
		b.drops.begin(m.Owner)
	}
	return m
}

// dropCompleted forgets the first n completed moves of an owner, which are written.
func (b *backend) dropCompleted(owner keyrange.Owner, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tracker != nil && b.tracker.Owner() == owner {
		b.completed = b.completed[min(n, len(b.completed)):]
	}
}

// editKeys returns the key table after the changes that m and completed require, and
// whether it differs from t.
func editKeys(t *keyrange.Space, m Member, completed []grant.CompletedMove, authority keyAuthority) (*keyrange.Space, bool) {
	next, changed := t, false
	for _, owner := range t.Owners() {
		if owner.Instance != m.Owner.Instance || !authority.mayTake(t, owner) {
			continue
		}
		switch {
		case m.State == BackendDown:
			certain := authority
			certain.delegated = false // the planner would record keys that are free
			reasserted, _ := certain.reassert(next, owner)
			next, changed = reasserted.Drop(owner), true
		case owner != m.Owner:
			next, changed = next.Replace(owner, m.Owner), true
		}
	}
	if m.State != BackendDown {
		reasserted, any := authority.reassert(next, m.Owner)
		next, changed = reasserted, changed || any
	}
	for _, c := range completed {
		if r := next.Find(c.From); r.Owner != m.Owner || r.Fence != c.Fence || !r.Moving() {
			continue
		}
		released, err := next.Release(c.Span, m.Owner, c.Handover)
		if err != nil {
			// The table has changed since, and the move is no longer open.
			continue
		}
		next, changed = released, true
	}
	return next, changed
}

// dropTried records the outcome of a try to drop the keys of owner.
func (b *backend) dropTried(owner keyrange.Owner, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	withheld, uncertain := b.drops.withholds(owner), b.drops.uncertain(owner)
	b.drops.tried(owner, err)
	switch {
	case withheld && err == nil:
		b.log.Info("keys of backend server dropped", zap.String("backend", owner.Incarnation))
	case !uncertain && b.drops.uncertain(owner):
		b.log.Info("drop of keys may still take effect; the keys are withheld", zap.String("backend", owner.Incarnation), zap.Error(err))
	case withheld && !b.drops.withholds(owner):
		b.log.Info("drop of keys had no effect; the keys are no longer withheld", zap.String("backend", owner.Incarnation), zap.Error(err))
	}
}
