package node

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/keyrange"
	"github.com/basilway/basilway/metastore"
)

// dropEarlier records that an earlier incarnation, which never sent a heartbeat to this process, is down and owns no
// keys, once it certainly holds nothing.
func (b *backend) dropEarlier(ctx context.Context, now time.Time) {
	if b.node.lease.validUntil().IsZero() || !b.portRefused(ctx) && now.Before(b.node.lease.earlierGrantsUntil()) {
		return
	}
	b.dropEarlierKeys(ctx)
	if err := b.recordEarlierDown(ctx); err != nil {
		b.log.Warn("earlier backend server not recorded as down", zap.Error(err))
	}
}

// recordEarlierDown writes the member row of an earlier incarnation as down, so that it gets no keys again.
func (b *backend) recordEarlierDown(ctx context.Context) error {
	m, ok := b.node.views.current().Members[b.node.config.Instance]
	if !ok || m.State == BackendDown {
		return nil
	}
	b.mu.Lock()
	returned := b.tracker != nil
	b.mu.Unlock()
	if returned {
		return nil
	}
	b.log.Warn("earlier backend server did not return", zap.String("backend", m.Owner.Incarnation), zap.Stringer("recorded as", m.State))
	m.State, m.version, m.Generation = BackendDown, 0, b.node.generation.generation()
	return b.writeMember(ctx, m)
}

// dropEarlierKeys drops the keys that earlier incarnations own.
func (b *backend) dropEarlierKeys(ctx context.Context) {
	table, ok := b.node.views.current().Keys[b.node.config.Service]
	if !ok {
		return
	}
	for _, owner := range table.Owners() {
		if owner.Instance != b.node.config.Instance || len(table.OwnedBy(owner)) == 0 {
			continue
		}
		if !b.authority().mayTake(table.Space, owner) {
			continue
		}
		b.log.Warn("earlier backend server did not return; dropping its keys", zap.String("backend", owner.Incarnation))
		err := b.node.writer.perform(ctx, keyUpdate{
			service: b.node.config.Service, tried: func(err error) { b.dropTried(owner, err) },
			edit: func(t *keyrange.Space) (*keyrange.Space, metastore.Txn, error) {
				if !slices.Contains(t.Owners(), owner) || !b.beginEarlierDrop(owner) {
					return nil, metastore.Txn{}, errNoChange
				}
				condition, err := b.node.lease.condition()
				return t.Drop(owner), metastore.Txn{Conditions: []metastore.Condition{condition}}, err
			},
		})
		if err != nil {
			b.log.Warn("keys of the earlier backend server not dropped", zap.Error(err))
		}
	}
}

// beginEarlierDrop reports whether the keys of an incarnation that sent no heartbeat to this process are still to
// be dropped, and withholds them from it if so.
func (b *backend) beginEarlierDrop(owner keyrange.Owner) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tracker != nil && b.tracker.Owner() == owner && b.state != BackendDown && !b.drops.uncertain(owner) {
		return false
	}
	b.drops.begin(owner)
	return true
}
