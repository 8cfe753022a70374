package node

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/grant"
	"github.com/basilway/basilway/internal/httpclient"
	"github.com/basilway/basilway/keyrange"
	"github.com/basilway/basilway/quarantine"
)

const (
	// backendDialTimeout bounds a connection to the backend server, which is on the same
	// machine; a server that does not accept one in this time is overloaded or frozen.
	backendDialTimeout = 500 * time.Millisecond
	// backendIdle is how long an unused connection to the backend server is kept if the
	// server does not say how long it keeps it.
	backendIdle = 5 * time.Second
	// silentAfter is the time without a heartbeat after which the backend server is
	// probed; several heartbeat intervals and the usual delay of a heartbeat.
	silentAfter = 3500 * time.Millisecond
	// drainShare is the part of the drain timeout, in percent, after which a backend
	// server that leaves gets no more requests. The rest covers requests on their way.
	drainShare = 60
)

// maxClockDifference bounds how far the time of day of two machines may differ for strikes
// to be taken over.
const maxClockDifference = 10 * time.Second

// backend is the backend server beside the node.
type backend struct {
	node *Node
	pool *httpclient.Pool
	lane *lane
	log  *zap.Logger

	// changed wakes requests that wait for the backend server to hold their key.
	changed broadcast
	// kick starts the member duty.
	kick chan struct{}

	mu     sync.Mutex
	last   grant.Heartbeat
	lastAt time.Time // boot time; zero before the first heartbeat
	state  BackendState
	holder *grant.Holder // nil until the first heartbeat
	// leaveAcked is when the backend server learned that its leave was noted; zero if it
	// does not leave.
	leaveAcked time.Time
	// leftID is the id of the backend server that said last that its membership ends.
	leftID string
	// adoptable is set if the backend server that the store names answered a health check
	// of this process.
	adoptable bool
	// completed are moves whose keys are released but not written yet.
	completed []grant.Completed
	strikes   *quarantine.Table
	merged    int // number of the view's strikes that are in strikes
	records   []quarantine.Record
	running   map[uint64]int // fingerprints in flight
	// closedAt is when the backend server's port was found closed; zero while it is open.
	closedAt time.Time
	// cut are the fingerprints of requests whose connection ended, with the time.
	cut     map[uint64]time.Time
	started time.Time
}

func newBackend(n *Node) *backend {
	return &backend{
		node: n, lane: newLane(), log: n.log.Named("backend"), kick: make(chan struct{}, 1),
		pool: httpclient.NewPool(n.config.BackendAddress, httpclient.Config{
			DialTimeout: backendDialTimeout, IdleTimeout: backendIdle, MaxIdle: 16, ReadBuffer: 4096,
		}),
		strikes: quarantine.New(quarantine.Config{Session: n.session, MaxAhead: maxClockDifference}),
		running: map[uint64]int{}, cut: map[uint64]time.Time{}, started: boottimeNow(),
	}
}

// wake starts the member duty.
func (b *backend) wake() {
	select {
	case b.kick <- struct{}{}:
	default:
	}
}

// owner is the current incarnation. Before the first heartbeat to this process it is the
// one that the store names.
func (b *backend) owner() keyrange.Owner {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.holder == nil {
		return b.node.views.current().Members[b.node.config.Instance].Owner
	}
	return b.holder.Owner()
}

// note takes a heartbeat and returns false if it is from an earlier life or out of order.
func (b *backend) note(hb grant.Heartbeat) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := boottimeNow()
	known := b.holder != nil
	same := known && hb.Incarnation() == b.last.Incarnation()
	if known && !same && hb.Born <= b.last.Born || same && hb.Sequence <= b.last.Sequence {
		return false
	}
	if !same {
		b.begin(hb, known)
	}
	b.last, b.lastAt, b.closedAt = hb, now, time.Time{}
	next := BackendReady
	if hb.State == grant.Draining || !b.leaveAcked.IsZero() {
		next = BackendDraining
	}
	if next != b.state {
		b.log.Info("backend server state", zap.Stringer("from", b.state), zap.Stringer("to", next),
			zap.String("backend", hb.Incarnation()), zap.Uint64("sequence", hb.Sequence))
		b.state = next
		if next == BackendDraining && b.leaveAcked.IsZero() {
			b.leaveAcked = now
			if !known {
				// An earlier process of this node may have acknowledged the leave long ago.
				b.leaveAcked = now.Add(-b.node.config.Bounds.DrainTimeout)
			}
		}
		b.wake()
		b.changed.notify()
	}
	return true
}

// begin starts to track a new incarnation.
func (b *backend) begin(hb grant.Heartbeat, known bool) {
	until := b.node.lease.earlierGrantsUntil()
	if known {
		until = b.holder.Until()
	}
	config := grant.DefaultConfig()
	if limit := b.node.config.Bounds.MaxHold; limit > 0 {
		config.Hold = min(config.Hold, limit)
	}
	owner := keyrange.Owner{Instance: b.node.config.Instance, Incarnation: hb.Incarnation()}
	b.holder = grant.NewHolder(config, owner, until)
	b.completed, b.state = nil, BackendUnknown
	if hb.ID != b.leftID {
		b.leaveAcked = time.Time{}
	}
	b.log.Info("backend server found", zap.String("backend", hb.Incarnation()), zap.Int("slots", hb.Slots),
		zap.Duration("cold", hb.Cold), zap.String("software", hb.Software))
	b.lane.setSlots(hb.Slots)
	b.wake()
}

// leave takes the end of the backend server's membership.
func (b *backend) leave(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.holder != nil && b.last.ID != id || b.state == BackendDown {
		return
	}
	b.log.Info("backend server leaves", zap.String("backend", id), zap.Stringer("state", b.state))
	if b.leaveAcked.IsZero() {
		b.leaveAcked = boottimeNow()
	}
	b.leftID = id
	if b.holder != nil {
		b.state = BackendDraining
	}
	b.wake()
	b.changed.notify()
}

// announce is the HTTP handler for the backend server's calls.
func (b *backend) announce(w http.ResponseWriter, r *http.Request) {
	hb, leaves, err := b.node.config.Protocol.Announcement(r)
	if err == nil && !leaves && hb.Service != b.node.config.Service {
		err = fmt.Errorf("service %q; this node serves %q", hb.Service, b.node.config.Service)
	}
	if err == nil && !leaves && hb.Address != b.node.config.BackendAddress {
		err = fmt.Errorf("address %q; this node serves %q", hb.Address, b.node.config.BackendAddress)
	}
	if err != nil {
		b.log.Warn("announcement rejected", zap.Error(err))
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if leaves {
		b.leave(hb.ID)
		b.node.config.Protocol.WriteReply(w, grant.Reply{})
		return
	}
	if !b.note(hb) {
		b.log.Info("heartbeat out of order ignored", zap.String("backend", hb.Incarnation()), zap.Uint64("sequence", hb.Sequence))
		b.node.config.Protocol.WriteReply(w, grant.Reply{})
		return
	}
	b.node.config.Protocol.WriteReply(w, b.reply(r.Context(), hb))
}

// parkFor is how long the answer to a heartbeat waits for keys that are on their way to
// the backend server, so that they are not idle until its next heartbeat. A heartbeat
// counts as answered within a second.
const parkFor = 600 * time.Millisecond

// reply decides what the backend server may hold.
func (b *backend) reply(ctx context.Context, hb grant.Heartbeat) grant.Reply {
	parked := time.NewTimer(parkFor)
	defer parked.Stop()
	for waiting := true; waiting; {
		view, changed := b.node.views.get()
		table, ok := view.Keys[b.node.config.Service]
		if !ok || hb.State == grant.Draining || !b.expects(table.Space) {
			break
		}
		select {
		case <-changed:
		case <-parked.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
	}
	view := b.node.views.current()
	table, ok := view.Keys[b.node.config.Service]
	if !ok {
		return grant.Reply{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.last.Incarnation() != hb.Incarnation() || b.last.Sequence != hb.Sequence {
		return grant.Reply{}
	}
	reply, completed := b.holder.Heartbeat(hb, table.Space, b.node.lease.validUntil(), boottimeNow())
	b.holder.Forget(table.Space)
	for _, c := range completed {
		b.log.Info("keys released", zap.Uint16("from", c.From), zap.Uint16("to", c.To), zap.Uint64("fence", c.Fence),
			zap.Bool("warm", c.Handover != ""))
		b.holder.Committing(c)
		b.completed = append(b.completed, c)
	}
	if len(completed) > 0 {
		b.wake()
	}
	b.changed.notify()
	return reply
}

// expects reports whether keys are about to be given to the backend server, and none are
// to be taken from it.
func (b *backend) expects(table *keyrange.Space) bool {
	owner := b.holderOwner()
	coming := false
	for _, r := range table.Ranges() {
		if r.Owner == owner && r.Moving() {
			return false
		}
		if r.Next == owner || r.Owner.Instance == owner.Instance && r.Owner != owner {
			coming = true
		}
	}
	return coming
}

// holderOwner is the incarnation that sends heartbeats.
func (b *backend) holderOwner() keyrange.Owner {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holder.Owner()
}
