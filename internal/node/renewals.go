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
	// renewInterval is the time between two transactions that renew leases. Each is a
	// priced call, for as many leases as fit.
	renewInterval = time.Second
	// renewBatch is the number of leases renewed in one transaction; a condition and a
	// write each, and the store takes 100 of them.
	renewBatch = 48
	// renewTimeout bounds one transaction.
	renewTimeout = 800 * time.Millisecond
	// silentMember is the time without a report after which the leases are read, to see
	// whether the member renews its lease itself.
	silentMember = 2 * time.Second
)

// plannerCutOff is the time without an answer of the store after which a planner takes no
// reports, so that the nodes look for another one. It writes each renewInterval.
const plannerCutOff = 1800 * time.Millisecond

// cutOff reports whether the store did not answer this planner for a while.
func (p *planner) cutOff() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.answered) > plannerCutOff
}

// renewal is the state of the lease of one node at the planner.
type renewal struct {
	offer *leaseOffer
	// done is the last renewal that was written.
	done *leaseRenewal
	// heard is when the node reported last.
	heard time.Time
}

// take notes the renewal that a report asks for and returns the last one. p.mu must be
// held.
func (p *planner) take(r report, now time.Time) reportAnswer {
	state := p.renewals[r.Instance]
	if state == nil {
		state = &renewal{}
		p.renewals[r.Instance] = state
	}
	state.heard = now
	if r.Lease != nil && (state.done == nil || state.done.Nonce != r.Lease.Row.Nonce) {
		state.offer = r.Lease
	}
	version, at := p.expiry.Newest()
	return reportAnswer{Renewed: state.done, StoreVersion: version, StoreNow: at.Milliseconds()}
}

// runRenewals writes the renewals that nodes ask for.
func (p *planner) runRenewals(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, renewInterval)
		if p.node.views.current().Planner.Instance != p.node.config.Instance {
			continue
		}
		offers := p.offers()
		for batch := range slices.Chunk(offers, renewBatch) {
			p.renew(ctx, batch)
		}
	}
}

// namedOffer is an offer with the node that made it.
type namedOffer struct {
	instance string
	*leaseOffer
}

func (p *planner) offers() []namedOffer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []namedOffer
	for instance, state := range p.renewals {
		if state.offer != nil {
			out = append(out, namedOffer{instance, state.offer})
		}
	}
	slices.SortFunc(out, func(a, b namedOffer) int { return cmp.Compare(a.instance, b.instance) })
	return out
}

// renew writes a batch. If a row is not as its holder believes, the others are written
// without it.
func (p *planner) renew(ctx context.Context, batch []namedOffer) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	applied, err := p.writeRenewals(ctx, batch)
	if errors.Is(err, metastore.ErrConflict) {
		listing, listErr := p.node.store.List(ctx, leaseTable)
		if listErr != nil {
			p.log.Info("leases not renewed", zap.Int("leases", len(batch)), zap.Error(listErr))
			return
		}
		versions := leaseVersions(listing)
		var stale []namedOffer
		batch = slices.DeleteFunc(slices.Clone(batch), func(o namedOffer) bool {
			if versions[o.instance] != o.Version {
				stale = append(stale, o)
				return true
			}
			return false
		})
		p.settle(stale, metastore.Applied{}, false)
		if len(batch) == 0 {
			return
		}
		applied, err = p.writeRenewals(ctx, batch)
	}
	if err != nil {
		// The holders keep asking, or write their rows themselves.
		p.log.Info("leases not renewed", zap.Int("leases", len(batch)), zap.Error(err))
		return
	}
	p.settle(batch, applied, true)
}

func (p *planner) writeRenewals(ctx context.Context, batch []namedOffer) (metastore.Applied, error) {
	var txn metastore.Txn
	for _, o := range batch {
		value, err := cbor.Marshal(o.Row)
		if err != nil {
			return metastore.Applied{}, err
		}
		txn.Conditions = append(txn.Conditions, metastore.Condition{Key: leaseKey(o.instance), Version: o.Version})
		txn.Writes = append(txn.Writes, metastore.Write{Key: leaseKey(o.instance), Value: value})
	}
	return p.node.store.Apply(ctx, txn)
}

// settle takes offers back that were written, or cannot be.
func (p *planner) settle(batch []namedOffer, applied metastore.Applied, written bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if written {
		p.sampleLocked(applied.Version, applied.Now)
	}
	for _, o := range batch {
		state := p.renewals[o.instance]
		if state == nil {
			continue
		}
		if state.offer == o.leaseOffer {
			state.offer = nil
		}
		if written {
			state.done = &leaseRenewal{Nonce: o.Row.Nonce, Version: applied.Version}
		}
	}
}

// anySilent reports whether a member has not reported for a while.
func (p *planner) anySilent(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for instance := range p.node.views.current().Members {
		if state := p.renewals[instance]; state == nil || now.Sub(state.heard) > silentMember {
			return true
		}
	}
	return false
}
