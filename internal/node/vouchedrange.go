package node

import (
	"context"

	"go.uber.org/zap"

	"github.com/basilway/basilway/keyrange"
	"github.com/basilway/basilway/metastore"
)

// vouchedRange is a range that a node certainly owned when the store went back.
type vouchedRange struct {
	From  uint16 `cbor:"1,keyasint"`
	To    uint16 `cbor:"2,keyasint"`
	Fence uint64 `cbor:"3,keyasint"`
}

// vouchedRanges returns the ranges that the node vouches for and that are not recorded yet, and
// the present generation of the store.
func (b *backend) vouchedRanges() (out []vouchedRange, generation uint64) {
	space, ok := b.node.views.current().Keys[b.node.config.Service]
	if !ok || !b.node.generation.isVouching() {
		return nil, 0
	}
	authority := b.authority()
	for _, r := range authority.unrecorded(space.Space, b.owner()) {
		out = append(out, vouchedRange{From: r.From, To: r.To, Fence: r.Fence})
	}
	return out, authority.generation
}

// vouchedReport is what a node vouched for in its last report.
type vouchedReport struct {
	generation uint64
	ranges     []vouchedRange
}

// matches reports whether r was vouched for.
func (v vouchedReport) matches(r keyrange.Range) bool {
	for _, x := range v.ranges {
		if x.Fence == r.Fence && (keyrange.Span{From: x.From, To: x.To}).Covers(r.Span) {
			return true
		}
	}
	return false
}

// confirmVouched records the ranges that nodes vouched for since the last call. The table says
// whether they still own them: another owner has another fencing token.
func (p *planner) confirmVouched(ctx context.Context) {
	p.mu.Lock()
	vouched := p.vouched
	p.vouched = map[string]vouchedReport{}
	p.mu.Unlock()
	if len(vouched) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, planWriteTimeout)
	defer cancel()
	for service := range p.node.views.current().Keys {
		confirmed := 0
		err := p.node.writer.update(ctx, service, func(t *keyrange.Space) (*keyrange.Space, metastore.Txn, error) {
			confirmed = 0
			generation := p.node.generation.generation()
			next := t.Confirm(func(r keyrange.Range) bool {
				v, ok := vouched[r.Owner.Instance]
				if !ok || v.generation != generation || t.SettledIn(generation, r.From) || !v.matches(r) {
					return false
				}
				confirmed++
				return true
			})
			if confirmed == 0 {
				return nil, metastore.Txn{}, errNoChange
			}
			return next, metastore.Txn{}, nil
		})
		if confirmed > 0 || err != nil {
			p.log.Info("ranges recorded for their owners", zap.String("service", service), zap.Int("ranges", confirmed), zap.Error(err))
		}
	}
}
