package node

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/membership"
)

const (
	// desiredStateWatchers is the number of nodes that watch the desired state for all. If each node
	// did, each change would cost a priced call a node. The store may turn half of the machines away.
	desiredStateWatchers = 12
	// maxDesiredStateAge is the age of the newest read of the desired state by any node at which all
	// nodes read it themselves, besides the time until a node learns of it.
	maxDesiredStateAge = 1200 * time.Millisecond
)

// newestRead is what a node knows of the newest read of the desired state by any node. It is safe
// for concurrent use.
type newestRead struct {
	mu sync.Mutex
	at time.Time
}

// record records that some node read the desired state at a time.
func (r *newestRead) record(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.After(r.at) {
		r.at = at
	}
}

// age returns the age of the newest read.
func (r *newestRead) age(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.at)
}

// watchDesiredState watches the operator's desired state, if this node is to.
func (n *Node) watchDesiredState(ctx context.Context) {
	w := n.newTableWatcher(tableOf(n.config.Protocol.DesiredStateRow()))
	w.shouldWatch = n.watchesDesiredState
	w.listsWhenBehind = true // it is mostly one large row
	w.onListing, w.onWatch, w.now = n.views.observeListing, n.views.observeWatch, n.now
	w.listInterval = func() time.Duration { return relistInterval(len(n.views.current().Members)) }
	w.watchers = func() int {
		if n.gossip.isolated() {
			return 1 // no other node tells this one of a change
		}
		return min(len(n.views.current().Members), desiredStateWatchers)
	}
	w.run(ctx)
}

// watchesDesiredState reports whether this node watches the desired state. A few nodes and the planner
// do. Others learn of a change from these, and with each report to the planner that the store has been
// read lately; without that, and while they don't get a version that they know of, they watch too.
func (n *Node) watchesDesiredState() bool {
	view := n.views.current()
	if view.Planner.Instance == n.config.Instance || n.gossip.isolated() || n.fetcher.needsStore() {
		return true
	}
	age := n.newestRead.age(time.Now())
	if own, known := n.desiredStateReadAge(); known {
		age = min(age, own)
	}
	if age > maxDesiredStateAge+reportInterval(len(view.Members))*4/3 {
		return true
	}
	var others []membership.Candidate
	for _, p := range n.gossip.reachablePeers() {
		others = append(others, membership.Candidate{Instance: p.instance, Cores: p.cores})
	}
	return membership.IsWatcher(membership.Candidate{Instance: n.config.Instance, Cores: n.config.Cores}, others, desiredStateWatchers)
}

// desiredStateReadAge returns how long ago this node last read the desired state, and false if it never did.
func (n *Node) desiredStateReadAge() (time.Duration, bool) {
	age := n.contact.age(tableOf(n.config.Protocol.DesiredStateRow()))
	return age, age > 0
}

// compareDesiredState compares the desired state with that of a node that has another version.
func (n *Node) compareDesiredState(ctx context.Context, address string) {
	if err := n.desired.compare(ctx, address); err != nil && ctx.Err() == nil {
		n.desired.log.Debug("desired states not compared", zap.String("address", address), zap.Error(err))
	}
}
