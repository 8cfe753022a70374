package node

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/coldstate"
	"github.com/basilway/basilway/grant"
	"github.com/basilway/basilway/internal/httpclient"
	"github.com/basilway/basilway/internal/inputlimit"
	"github.com/basilway/basilway/keyrange"
	"github.com/basilway/basilway/quarantine"
)

const (
	// backendDialTimeout bounds dialing the backend server. It is on the same instance, so
	// one that does not accept a connection in this time is overloaded or frozen.
	backendDialTimeout = 500 * time.Millisecond
	// backendIdleTimeout is how long an idle connection to the backend server is kept if the
	// server does not say how long it keeps it.
	backendIdleTimeout = 5 * time.Second
	// heartbeatTimeout is the time without a heartbeat after which the backend server's port
	// is probed: several heartbeat intervals plus the usual delay of a heartbeat.
	heartbeatTimeout = 3500 * time.Millisecond
)

// maxClockSkew is the largest difference between the wall clocks of two instances at which one
// merges the strikes of the other.
const maxClockSkew = 10 * time.Second

// backend tracks the local backend server, the one beside the node, and sends it requests.
type backend struct {
	node  *Node
	pool  *httpclient.Pool
	queue *requestQueue
	// capacity is nil unless Config.LearnCapacity is set.
	capacity *capacityMeter
	log      *zap.Logger

	// changed wakes requests that wait for their key to be granted to the backend server.
	changed broadcast
	// wakeup triggers a pass of runReconcile.
	wakeup chan struct{}

	mu              sync.Mutex
	succession      grant.Succession
	lastHeartbeat   grant.Heartbeat
	lastHeartbeatAt time.Time // by Node.now; zero before the first heartbeat
	state           BackendState
	tracker         *grant.Tracker // nil until the first heartbeat
	// leaveAcked is when the backend server's leave was acknowledged, by Node.now; zero if
	// it is not leaving.
	leaveAcked time.Time
	// leavingID is the id of the backend server that last announced its leave.
	leavingID string
	// adoptable is set if the backend server recorded in the store passed a health check by
	// this process.
	adoptable bool
	// completed are moves whose keys are released but not yet written to the store.
	completed []grant.CompletedMove
	// drops are the writes under way that take keys from the backend server.
	drops keyDrops

	strikes          *quarantine.Table
	mergedStrikes    int                 // number of View.strikes that are in strikes
	unwrittenStrikes []quarantine.Record // strikes not yet written to the store
	running          map[uint64]int      // requests in flight by fingerprint
	// evacuated is set from the begin of an evacuation of the node's availability zone until the
	// backend server may get requests again.
	evacuated bool
	// portClosedAt is when the backend server's port was found closed, by Node.now; zero
	// while it is open.
	portClosedAt time.Time
	// disconnected are the requests whose connection was closed without a response, by
	// fingerprint, with the time.
	disconnected map[uint64]time.Time
	// cold is what is known of whether the backend server is cold, by Node.now, and coldShown what
	// was logged last.
	cold      *coldstate.Tracker
	coldShown coldstate.State
	// started is when this process started, by Node.now.
	started time.Time
	// portRefused reports whether nothing listens on the backend server's address any more.
	portRefused func(ctx context.Context) bool
}

func newBackend(n *Node) *backend {
	b := &backend{
		node: n, queue: newRequestQueue(), log: n.log.Named("backend"), wakeup: make(chan struct{}, 1),
		pool: httpclient.NewPool(n.config.BackendAddress, httpclient.Config{
			DialTimeout: backendDialTimeout, IdleTimeout: backendIdleTimeout, MaxIdle: 16, ReadBuffer: 4096,
		}),
		strikes: quarantine.New(quarantine.Config{Session: n.session, MaxAhead: maxClockSkew}),
		running: map[uint64]int{}, disconnected: map[uint64]time.Time{}, started: n.now(), cold: coldstate.NewTracker(coldstate.DefaultConfig()),
	}
	b.portRefused = b.probePort
	if n.config.LearnCapacity {
		b.capacity = &capacityMeter{queue: b.queue, log: b.log, speedChanged: n.reportNow.notify}
	}
	return b
}

// wake triggers a pass of runReconcile. It does not block.
func (b *backend) wake() {
	select {
	case b.wakeup <- struct{}{}:
	default:
	}
}

// owner returns the current incarnation. Before the first heartbeat to this process it is
// the one recorded in the store.
func (b *backend) owner() keyrange.Owner {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tracker == nil {
		return b.node.views.current().Members[b.node.config.Instance].Owner
	}
	return b.tracker.Owner()
}

// processHeartbeat updates the tracked state from a heartbeat. It ignores a heartbeat that is
// from an earlier incarnation or out of order, and returns false.
func (b *backend) processHeartbeat(hb grant.Heartbeat) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.node.now()
	known := b.tracker != nil
	var last *grant.Heartbeat
	if known {
		last = &b.lastHeartbeat
	}
	if !known && grant.FromEarlier(hb, b.recordedIncarnation(), b.adoptable && now.Sub(b.started) < adoptionTimeout) {
		return false
	}
	ok, first := b.succession.Accept(last, hb)
	if !ok {
		return false
	}
	if first {
		b.trackIncarnation(hb, known)
	}
	b.learnRecordedLeave()
	b.lastHeartbeat, b.lastHeartbeatAt, b.portClosedAt = hb, now, time.Time{}
	b.cold.Heartbeat(hb.WarmUpLeft, now)
	b.applyColdLimit(now)
	next := BackendReady
	if hb.State == grant.Draining || !b.leaveAcked.IsZero() {
		next = BackendDraining
	}
	if next != b.state {
		b.log.Info("backend server state changed", zap.Stringer("from", b.state), zap.Stringer("to", next),
			zap.String("backend", hb.Incarnation()), zap.Uint64("sequence", hb.Sequence))
		b.state = next
		if next == BackendDraining && b.leaveAcked.IsZero() {
			b.leaveAcked = now
			if !known {
				// An earlier process may have acknowledged the leave long ago.
				b.leaveAcked = now.Add(-b.node.config.Bounds.DrainTimeout)
			}
		}
		b.wake()
		b.changed.notify()
	}
	return true
}

// recordedIncarnation returns the incarnation that the store records; empty if none is known.
func (b *backend) recordedIncarnation() string {
	return b.node.views.current().Members[b.node.config.Instance].Owner.Incarnation
}

// trackIncarnation starts tracking a new incarnation. known is set if this process already
// had a heartbeat from another one. b.mu must be held.
func (b *backend) trackIncarnation(hb grant.Heartbeat, known bool) {
	until := b.node.lease.earlierGrantsUntil()
	if known {
		until = b.tracker.Until()
	} else if recorded := grant.IncarnationID(b.recordedIncarnation()); recorded != hb.ID {
		// An earlier process tracked this one, whose heartbeats may still arrive.
		b.succession.Retire(recorded)
	}
	config := grant.DefaultConfig()
	if limit := b.node.config.Bounds.MaxHold; limit > 0 {
		config.MaxHold = min(config.MaxHold, limit)
	}
	config.MaxReplyBytes, config.GrantBytes = b.node.config.Protocol.ReplyLimit()
	owner := keyrange.Owner{Instance: b.node.config.Instance, Incarnation: hb.Incarnation()}
	if known {
		b.tracker = grant.NewTracker(config, owner, until)
	} else {
		b.tracker = grant.ResumeTracker(config, owner, until, b.started)
	}
	b.completed, b.state = nil, BackendUnknown
	b.cold.Forget()
	if hb.ID != b.leavingID || known && b.lastHeartbeat.ID == hb.ID {
		b.leaveAcked = time.Time{} // the leave, if any, was that of the incarnation before
	}
	b.log.Info("new backend server incarnation", zap.String("backend", hb.Incarnation()), zap.Int("slots", hb.Slots),
		zap.Duration("cold", hb.WarmUpLeft), zap.String("software", hb.Software))
	b.queue.setSlots(hb.Slots)
	b.capacity.reset(owner.Incarnation, hb.Slots)
	b.applyLimit(owner.Incarnation)
	b.wake()
}

const (
	// maxAnnouncementSize bounds an announcement, in bytes; 65,536 keys held one by one fit.
	maxAnnouncementSize = 4 << 20
	// announcementCost is what a byte of an announcement costs: received, and decoded.
	announcementCost = 6
)

// serveAnnouncement handles the backend server's heartbeats and leaves.
func (b *backend) serveAnnouncement(w http.ResponseWriter, r *http.Request) {
	body, err := inputlimit.FromContext(r.Context()).ReadAll(r.Body, maxAnnouncementSize, announcementCost)
	if errors.Is(err, inputlimit.ErrFull) {
		refuseForMemory(w, r)
		return
	}
	if err != nil {
		b.log.Warn("announcement cannot be read", zap.Error(err))
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
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
		b.markLeaving(hb.ID)
		b.awaitLeaveRecorded(r.Context(), hb.ID)
		b.node.config.Protocol.WriteReply(w, grant.Reply{})
		return
	}
	if !b.processHeartbeat(hb) {
		b.log.Info("out-of-order heartbeat ignored", zap.String("backend", hb.Incarnation()), zap.Uint64("sequence", hb.Sequence))
		b.node.config.Protocol.WriteReply(w, grant.Reply{})
		return
	}
	if hb.State == grant.Draining {
		b.awaitLeaveRecorded(r.Context(), hb.ID)
	}
	b.node.config.Protocol.WriteReply(w, b.reply(r.Context(), hb))
}

// maxReplyDelay bounds how long the reply to a heartbeat waits for keys that are moving to
// the backend server. Without the wait, nobody would hold them until its next heartbeat. A
// heartbeat counts as answered if the reply comes within a second.
const maxReplyDelay = 600 * time.Millisecond

// reply returns what the backend server may hold. It waits up to maxReplyDelay while keys
// are moving to it.
func (b *backend) reply(ctx context.Context, hb grant.Heartbeat) grant.Reply {
	timer := time.NewTimer(maxReplyDelay)
	defer timer.Stop()
	for waiting := true; waiting; {
		view, changed := b.node.views.get()
		table, ok := view.Keys[b.node.config.Service]
		if !ok || hb.State == grant.Draining || b.mustRelease(table.Space) || !b.onlyGainsKeys(table.Space) {
			break
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
	}
	// Read before the view, which shows the outcome of a drop that ends in between.
	withheld := b.withholdsKeys()
	view := b.node.views.current()
	table, ok := view.Keys[b.node.config.Service]
	if !ok {
		return grant.Reply{}
	}
	authority := b.authority()
	grantable := table.Hide(func(r keyrange.Range) bool {
		return r.Owner.Instance == b.node.config.Instance && (withheld || !authority.owns(table.Space, r))
	})
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lastHeartbeat.Incarnation() != hb.Incarnation() || b.lastHeartbeat.Sequence != hb.Sequence || b.state == BackendDown {
		return grant.Reply{}
	}
	reply, completed := b.tracker.Heartbeat(hb, grantable, b.node.lease.validUntil(), b.node.now())
	b.tracker.DropHandovers(table.Space)
	if reply.Omitted > 0 {
		b.log.Warn("grants left out of a reply that would be too long", zap.Int("omitted", reply.Omitted), zap.Int("granted", len(reply.Grants)))
	}
	for _, c := range completed {
		b.log.Info("keys released", zap.Uint16("from", c.From), zap.Uint16("to", c.To), zap.Uint64("fence", c.Fence),
			zap.Bool("warm", c.Handover != ""))
		b.tracker.Committing(c)
		b.completed = append(b.completed, c)
	}
	if len(completed) > 0 {
		b.wake()
	}
	b.changed.notify()
	return reply
}

// mustRelease reports whether the backend server may hold keys that are not to be granted to it any
// more.
func (b *backend) mustRelease(table *keyrange.Space) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tracker.MustRelease(table)
}

// withholdsKeys reports whether the keys of the backend server are being dropped.
func (b *backend) withholdsKeys() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tracker != nil && b.drops.withholds(b.tracker.Owner())
}

// onlyGainsKeys reports whether keys are moving to the backend server and none away from it.
func (b *backend) onlyGainsKeys(table *keyrange.Space) bool {
	owner := b.trackedOwner()
	gains := false
	for _, r := range table.Ranges() {
		if r.Owner == owner && r.Moving() {
			return false
		}
		if r.Next == owner || r.Owner.Instance == owner.Instance && r.Owner != owner {
			gains = true
		}
	}
	return gains
}

// trackedOwner returns the incarnation that sends heartbeats to this process. It must not be
// called before the first heartbeat.
func (b *backend) trackedOwner() keyrange.Owner {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tracker.Owner()
}
