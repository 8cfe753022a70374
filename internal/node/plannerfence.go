package node

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/basilway/basilway/keyrange"
	"github.com/basilway/basilway/membership/expiry"
	"github.com/basilway/basilway/metastore"
)

// fenceLost removes the members whose leases expired or whose addresses other nodes took
// over, and takes their keys away. It does the same with members and owners without a lease row.
func (p *planner) fenceLost(ctx context.Context) {
	interval := leaseIdlePollInterval
	if p.anyMemberSilent(time.Now()) {
		interval = leasePollInterval
	}
	if time.Since(p.lastLeasePoll) < interval {
		return
	}
	p.lastLeasePoll = time.Now()
	// Who appears after this has a lease already.
	view := p.node.views.current()
	listing, err := p.node.store.List(ctx, leaseTable)
	if err != nil {
		p.log.Debug("leases not read", zap.Error(err))
		return
	}
	present := leaseVersions(listing)
	p.mu.Lock()
	p.sampleLocked(listing.Version, listing.Now)
	gone := append(p.expiry.Lost(present), replacedHolders(listing)...)
	p.mu.Unlock()
	if p.node.generation.settled() {
		// Before that, live nodes write the lease rows again that the store lost.
		gone = append(gone, holdersWithoutLease(view, present)...)
	}
	for _, lost := range gone {
		p.fence(ctx, lost)
	}
}

// holdersWithoutLease returns the members and the owners of keys that have no lease row.
func holdersWithoutLease(view *View, leases map[string]uint64) []expiry.Lost {
	instances := map[string]bool{}
	for instance := range view.Members {
		instances[instance] = true
	}
	for _, space := range view.Keys {
		for _, owner := range space.Owners() {
			instances[owner.Instance] = true
		}
	}
	var out []expiry.Lost
	for _, instance := range slices.Sorted(maps.Keys(instances)) {
		if _, ok := leases[instance]; !ok {
			out = append(out, expiry.Lost{Holder: instance})
		}
	}
	return out
}

// replacedHolders returns the holders whose address another node has taken over: the
// platform gives an address to another instance only after the first one is gone. The order of
// renewals does not tell which is the first: the planner may renew the lease of a node that is
// gone.
func replacedHolders(listing metastore.Listing) []expiry.Lost {
	type holder struct {
		instance          string
		version, acquired uint64
	}
	newest := map[string]holder{}
	var out []expiry.Lost
	for _, row := range listing.Rows {
		var value leaseRow
		instance, ok := leaseHolder(row.Key)
		if err := cbor.Unmarshal(row.Value, &value); err != nil || value.Address == "" || !ok {
			continue // such a row expires by its age
		}
		h := holder{instance, row.Version, value.acquiredAt(row.Version)}
		older, taken := newest[value.Address]
		if taken && older.acquired > h.acquired {
			older, h = h, older
		}
		newest[value.Address] = h
		if taken {
			out = append(out, expiry.Lost{Holder: older.instance, Version: older.version})
		}
	}
	return out
}

// fence deletes the lease row of a lost holder, or makes sure that there is none. The same
// transaction deletes its member row and takes its keys away.
func (p *planner) fence(ctx context.Context, lost expiry.Lost) {
	ctx, cancel := context.WithTimeout(ctx, planWriteTimeout)
	defer cancel()
	p.log.Warn("lease expired or missing, or address taken over by another node", zap.String("lost", lost.Holder),
		zap.Uint64("version", lost.Version), zap.Duration("unchanged", lost.Age))
	txn := metastore.Txn{
		Conditions: []metastore.Condition{{Key: leaseKey(lost.Holder), Version: lost.Version}},
		Writes:     []metastore.Write{{Key: leaseKey(lost.Holder), Delete: true}, {Key: memberKey(lost.Holder), Delete: true}},
	}
	var err error
	if service := p.node.views.current().serviceOf(lost.Holder); service != "" {
		err = p.node.writer.update(ctx, service, func(t *keyrange.Space) (*keyrange.Space, metastore.Txn, error) {
			for _, owner := range t.Owners() {
				if owner.Instance == lost.Holder {
					t = t.Drop(owner)
				}
			}
			return t, txn, nil
		})
	} else {
		_, err = p.node.store.Apply(ctx, txn)
	}
	if err != nil {
		p.log.Info("lost instance not removed", zap.String("lost", lost.Holder), zap.Error(err))
	}
}
