package node

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/basilway/basilway/metastore"
)

const (
	// renewInterval is the time between two rounds of lease renewals. Each transaction is a
	// priced call and renews as many leases as fit.
	renewInterval = time.Second
	// renewBatchSize is the number of leases renewed in one transaction. Each takes a
	// condition and a write, and the store accepts 100 of them.
	renewBatchSize = 48
	// renewTimeout bounds the renewal of one batch.
	renewTimeout = 800 * time.Millisecond
	// memberSilentAfter is the time without a report after which a member counts as silent.
	// The leases are then read every leasePollInterval, to see whether it renews its lease
	// itself.
	memberSilentAfter = 2 * time.Second
)

// storeUnresponsiveAfter is the time without a response of the store after which a planner
// rejects reports, so that the nodes look for another planner. The planner writes every
// renewInterval.
const storeUnresponsiveAfter = 1800 * time.Millisecond

// storeUnresponsive reports whether this planner had no response of the store for
// storeUnresponsiveAfter.
func (p *planner) storeUnresponsive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.lastSample) > storeUnresponsiveAfter
}

// renewalState is the planner's state of one node's lease.
type renewalState struct {
	request *renewalRequest
	// completed is the last renewal that was written.
	completed *leaseRenewal
	// lastReport is when the node last reported.
	lastReport time.Time
}

// recordRenewalRequest records the renewal that a report asks for, and returns the response
// with the last completed renewal. p.mu must be held.
func (p *planner) recordRenewalRequest(r report, now time.Time) reportResponse {
	state := p.renewals[r.Instance]
	if state == nil {
		state = &renewalState{}
		p.renewals[r.Instance] = state
	}
	state.lastReport = now
	if r.Lease != nil && (state.completed == nil || state.completed.Nonce != r.Lease.Row.Nonce) {
		state.request = r.Lease
	}
	version, at := p.expiry.Newest()
	return reportResponse{Renewed: state.completed, StoreVersion: version, StoreNow: at.Milliseconds()}
}

// runRenewals writes the requested renewals while this node has the planner role.
func (p *planner) runRenewals(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, renewInterval)
		if p.node.views.current().Planner.Instance != p.node.config.Instance {
			continue
		}
		pending := p.pendingRenewals()
		for batch := range slices.Chunk(pending, renewBatchSize) {
			p.renew(ctx, batch)
		}
	}
}

// pendingRenewal is a renewal request with the instance that made it.
type pendingRenewal struct {
	instance string
	*renewalRequest
	// version is that of the row before the renewal: the one that the holder knows, or that of this
	// planner's last renewal, of which the holder may not have learned yet.
	version uint64
}

func (p *planner) pendingRenewals() []pendingRenewal {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []pendingRenewal
	for instance, state := range p.renewals {
		if state.request == nil {
			continue
		}
		version := state.request.Version
		if state.completed != nil {
			version = max(version, state.completed.Version)
		}
		out = append(out, pendingRenewal{instance, state.request, version})
	}
	slices.SortFunc(out, func(a, b pendingRenewal) int { return cmp.Compare(a.instance, b.instance) })
	return out
}

// renew writes a batch of renewals. If a row's version is not the one that is expected, the others
// are written without it.
func (p *planner) renew(ctx context.Context, batch []pendingRenewal) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	applied, err := p.writeRenewals(ctx, batch)
	for tries := 1; tries < maxRenewalTries && errors.Is(err, metastore.ErrConflict); tries++ {
		var stale []pendingRenewal
		if batch, stale, err = p.splitStale(ctx, batch, err); err != nil {
			break
		}
		p.finishRenewals(stale, metastore.Applied{}, false)
		if len(batch) == 0 {
			return
		}
		applied, err = p.writeRenewals(ctx, batch)
	}
	if err != nil {
		// The holders ask again or write their rows themselves.
		p.log.Info("leases not renewed", zap.Int("leases", len(batch)), zap.Error(err))
		return
	}
	p.finishRenewals(batch, applied, true)
}

// maxRenewalTries bounds the writes of one batch.
const maxRenewalTries = 3

// splitStale divides a batch that failed into the renewals that can be written and those whose rows
// have changed. It reads the rows if the response does not show which these are.
func (p *planner) splitStale(ctx context.Context, batch []pendingRenewal, conflict error) (current, stale []pendingRenewal, err error) {
	versions := leaseVersions(metastore.Listing{Rows: metastore.ConflictRows(conflict)})
	for _, r := range batch {
		if version, shown := versions[r.instance]; shown && version != r.version {
			stale = append(stale, r)
		} else {
			current = append(current, r)
		}
	}
	if len(stale) > 0 {
		return current, stale, nil
	}
	listing, err := p.node.store.List(ctx, leaseTable)
	if err != nil {
		return nil, nil, err
	}
	versions, current = leaseVersions(listing), nil
	for _, r := range batch {
		if versions[r.instance] == r.version {
			current = append(current, r)
		} else {
			stale = append(stale, r)
		}
	}
	return current, stale, nil
}

func (p *planner) writeRenewals(ctx context.Context, batch []pendingRenewal) (metastore.Applied, error) {
	var txn metastore.Txn
	for _, r := range batch {
		value, err := cbor.Marshal(r.Row)
		if err != nil {
			return metastore.Applied{}, err
		}
		txn.Conditions = append(txn.Conditions, metastore.Condition{Key: leaseKey(r.instance), Version: r.version})
		txn.Writes = append(txn.Writes, metastore.Write{Key: leaseKey(r.instance), Value: value})
	}
	return p.node.store.Apply(ctx, txn)
}

// finishRenewals removes requests that were written or cannot be, and records those written.
func (p *planner) finishRenewals(batch []pendingRenewal, applied metastore.Applied, written bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if written {
		p.sampleLocked(applied.Version, applied.Now)
	}
	for _, r := range batch {
		state := p.renewals[r.instance]
		if state == nil {
			continue
		}
		if state.request == r.renewalRequest {
			state.request = nil
		}
		if written {
			state.completed = &leaseRenewal{Nonce: r.Row.Nonce, Version: applied.Version}
		}
	}
}

// anyMemberSilent reports whether a member has not reported for memberSilentAfter.
func (p *planner) anyMemberSilent(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for instance := range p.node.views.current().Members {
		if state := p.renewals[instance]; state == nil || now.Sub(state.lastReport) > memberSilentAfter {
			return true
		}
	}
	return false
}
