package node

import (
	"sync"
	"time"

	"github.com/basilway/basilway/keyrange"
)

// settleTime is how long after a node first sees a generation of the store all leases of the
// seconds that the store lost have run out, by a clock that may be slow.
const settleTime = leaseDuration + leaseDuration*2/100

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

func newStoreGeneration(bootstrap bool, now func() time.Time) *storeGeneration {
	return &storeGeneration{bootstrap: bootstrap, now: now, entered: make(chan struct{}, 1)}
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

// age returns how long ago the node first saw the present generation.
func (g *storeGeneration) age() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.now().Sub(g.seenAt)
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
