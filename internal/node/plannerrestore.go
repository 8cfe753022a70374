package node

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"github.com/basilway/basilway/keyrange"
	"github.com/basilway/basilway/metastore"
	"github.com/basilway/basilway/placement"
)

// dropOwnersWithoutLease takes the keys from owners whose lease rows the store lost when it
// went back and that did not write them again.
func (p *planner) dropOwnersWithoutLease(ctx context.Context, leases map[string]uint64) {
	if p.node.generation.generation() == 0 {
		return
	}
	for service, space := range p.node.views.current().Keys {
		for _, owner := range space.Owners() {
			if _, ok := leases[owner.Instance]; ok {
				continue
			}
			p.log.Warn("keys of an owner without a lease dropped", zap.String("service", service), zap.String("owner", owner.Instance))
			err := p.node.writer.update(ctx, service, func(t *keyrange.Space) (*keyrange.Space, metastore.Txn, error) {
				return t.Drop(owner), metastore.Txn{Conditions: []metastore.Condition{{Key: leaseKey(owner.Instance)}}}, nil
			})
			if err != nil {
				p.log.Info("keys not dropped", zap.String("owner", owner.Instance), zap.Error(err))
			}
		}
	}
}

// withoutUnsettled removes the changes that give away keys without an owner, while a lost owner
// may still hold them.
func (p *planner) withoutUnsettled(table *keyrange.Space, changes []placement.Change) []placement.Change {
	if p.node.generation.settled() {
		return changes
	}
	generation := p.node.generation.generation()
	return slices.DeleteFunc(changes, func(c placement.Change) bool {
		return c.From.IsZero() && !table.SettledIn(generation, c.Span.From)
	})
}
