package node

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/keyrange"
	"github.com/basilway/basilway/metastore"
)

const (
	// settleTime is how long after a node first sees a generation of the store all leases of
	// the seconds that the store lost have run out, by a clock that may be slow.
	settleTime = leaseDuration + leaseDuration*2/100
	// restoreDelay is the time over which the nodes spread their reads when the store went
	// back, and restoreDelayPerMember its least value for each member, so that many nodes keep
	// within the store's rates.
	restoreDelay          = 200 * time.Millisecond
	restoreDelayPerMember = time.Millisecond
	// restoreRetryInterval is the pause after a failed read.
	restoreRetryInterval = 250 * time.Millisecond
)

// storeGeneration is what the node knows of the store's present generation. It is safe for
// concurrent use.
type storeGeneration struct {
	bootstrap bool
	now       func() time.Time

	mu      sync.Mutex
	current uint64
	seenAt  time.Time
	// first is set if it is the first generation that this process has seen.
	first bool
	// rollbacks are the times at which the store went back while the node had its lease,
	// without a lapse since. The node knows the truth about the keys that it owned then.
	rollbacks []rollback
	// entered is notified of a new generation.
	entered chan struct{}
}

// rollback is a time at which the store went back.
type rollback struct {
	// from is the generation before, and before the view of it.
	from   uint64
	before *View
}

func newStoreGeneration(bootstrap bool) *storeGeneration {
	return &storeGeneration{bootstrap: bootstrap, now: boottimeNow, entered: make(chan struct{}, 1)}
}

// enter starts a generation. before is the view at that time.
func (g *storeGeneration) enter(generation uint64, before *View, leased bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.first = g.seenAt.IsZero() && !before.Listed && before.Routes == nil
	if !leased || g.first || g.now().Sub(g.seenAt) > settleTime {
		g.rollbacks = nil
	}
	if leased && !g.first {
		g.rollbacks = append(g.rollbacks, rollback{g.current, before})
	}
	g.current, g.seenAt = generation, g.now()
	select {
	case g.entered <- struct{}{}:
	default:
	}
}

// generation returns the present generation.
func (g *storeGeneration) generation() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.current
}

// settled reports whether no lease of the seconds that the store lost can be in force.
func (g *storeGeneration) settled() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.current == 0 || g.first && g.bootstrap || g.now().Sub(g.seenAt) > settleTime
}

// vouches reports whether the node certainly owned r, a range of service, when the store went
// back last: it was recorded then, or the node vouched for it.
func (g *storeGeneration) vouches(service string, r keyrange.Range) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := len(g.rollbacks) - 1; i >= 0; i-- {
		space, ok := g.rollbacks[i].before.Keys[service]
		if !ok {
			return false
		}
		had := space.Find(r.From)
		if had.Owner != r.Owner || had.Fence != r.Fence || !had.Covers(r.Span) {
			return false
		}
		if space.SettledIn(g.rollbacks[i].from, r.From) {
			return true
		}
	}
	return false
}

// keyAuthority says which ranges of the local backend server's service this node may grant and
// change.
type keyAuthority struct {
	generation uint64
	settled    bool
	vouches    func(keyrange.Range) bool
}

// authority returns the authority over the ranges of the local backend server's service.
func (b *backend) authority() keyAuthority {
	g := b.node.generation
	return keyAuthority{
		generation: g.generation(), settled: g.settled(),
		vouches: func(r keyrange.Range) bool {
			b.mu.Lock()
			releasing := b.tracker != nil && b.tracker.Releasing(r)
			b.mu.Unlock()
			return !releasing && g.vouches(b.node.config.Service, r)
		},
	}
}

// owns reports whether the owner of r in space certainly owns it: it was recorded in the
// present generation, or this node vouches for it.
func (a keyAuthority) owns(space *keyrange.Space, r keyrange.Range) bool {
	return space.SettledIn(a.generation, r.From) || a.vouches(r)
}

// mayTake reports whether the keys of an owner on this instance may be taken from it.
func (a keyAuthority) mayTake(space *keyrange.Space, owner keyrange.Owner) bool {
	if a.settled {
		return true
	}
	for _, r := range space.OwnedBy(owner) {
		if !a.owns(space, r) {
			return false
		}
	}
	return true
}

// reassert returns the space with the ranges of owner recorded in the present generation: those
// that the node vouches for as they are, others with new fencing tokens once that is safe.
func (a keyAuthority) reassert(space *keyrange.Space, owner keyrange.Owner) (next *keyrange.Space, changed bool) {
	unrecorded := func(r keyrange.Range) bool { return r.Owner == owner && !space.SettledIn(a.generation, r.From) }
	confirm := func(r keyrange.Range) bool { return unrecorded(r) && a.vouches(r) }
	renew := func(r keyrange.Range) bool { return a.settled && unrecorded(r) && !a.vouches(r) }
	next = space
	for _, r := range space.OwnedBy(owner) {
		changed = changed || confirm(r) || renew(r)
	}
	if changed {
		next = space.Confirm(confirm).Renew(renew)
	}
	return next, changed
}

// enterGeneration is called with the view before the first rows of a later generation of the
// store are applied.
func (n *Node) enterGeneration(generation uint64, before *View) {
	leased := boottimeNow().Before(n.lease.validUntil())
	from := n.generation.generation()
	n.generation.enter(generation, before, leased)
	if before.Listed || before.Routes != nil {
		n.metrics.storeRollbacks.Inc()
		n.log.Warn("the store went back to an earlier state", zap.Uint64("from generation", from), zap.Uint64("to generation", generation),
			zap.Bool("vouching for own keys", leased))
	}
}

// runRestore reads the cluster's rows whenever the store went back, so that the node writes
// again what was lost of its own. The planner then writes again the key tables that are still
// missing, because their owners have restarted, and the others do if the planner didn't.
func (n *Node) runRestore(ctx context.Context) {
	settled := time.NewTimer(0)
	<-settled.C
	for {
		select {
		case <-n.generation.entered:
			settled.Reset(settleTime)
		case <-settled.C:
			n.views.dropLostMembers()
			continue
		case <-ctx.Done():
			return
		}
		view := n.views.current()
		if view.Planner.Instance != n.config.Instance {
			sleep(ctx, jitter(max(restoreDelay, time.Duration(len(view.Members))*restoreDelayPerMember)))
		}
		for ctx.Err() == nil {
			listing, err := n.store.List(ctx, clusterTable)
			if err == nil {
				n.views.replace(clusterTable, listing)
				n.backend.wake()
				n.rewriteLostTables(ctx)
				break
			}
			n.log.Debug("cluster not read after the store went back", zap.Error(err))
			sleep(ctx, jitter(restoreRetryInterval))
		}
	}
}

// rewriteLostTables writes the key tables again that the store lost and nobody has written yet.
func (n *Node) rewriteLostTables(ctx context.Context) {
	if n.views.current().Planner.Instance != n.config.Instance {
		sleep(ctx, rewriteDelay+jitter(rewriteDelay))
	}
	for service := range n.views.current().Keys {
		rewritten := 0
		err := n.writer.update(ctx, service, func(t *keyrange.Space) (*keyrange.Space, metastore.Txn, error) {
			lost := n.views.lostBuckets(service)
			if rewritten = len(lost); rewritten == 0 {
				return nil, metastore.Txn{}, errNoChange
			}
			for _, bucket := range lost {
				t = t.Rewrite(bucket)
			}
			return t, metastore.Txn{}, nil
		})
		if rewritten > 0 || err != nil {
			n.log.Info("lost key tables written again", zap.String("service", service), zap.Int("tables", rewritten),
				zap.Uint64("generation", n.generation.generation()), zap.Error(err))
		}
	}
}

// rewriteDelay is how long nodes wait for the planner to write lost key tables again.
const rewriteDelay = 500 * time.Millisecond

// restored reports whether the node's keys are recorded in the generation of version, so that a
// renewal at that version may extend its lease. Without that, another node might take keys that
// this one goes on granting.
func (n *Node) restored(version uint64) bool {
	n.views.observeGeneration(version)
	if n.generation.settled() || !n.generation.isVouching() {
		return true
	}
	view := n.views.current()
	space, ok := view.Keys[n.config.Service]
	if !ok {
		return true
	}
	current := n.generation.generation()
	for _, r := range space.Ranges() {
		if r.Owner.Instance == n.config.Instance && n.generation.vouches(n.config.Service, r) && !space.SettledIn(current, r.From) {
			return false
		}
	}
	return true
}

// stopVouching is called when the node has no lease, so that others may take its keys.
func (g *storeGeneration) stopVouching() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rollbacks = nil
}

// isVouching reports whether the node had its lease when the store went back.
func (g *storeGeneration) isVouching() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.rollbacks) > 0
}
