package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/grant"
)

// markLeaving marks the backend server with the given id as leaving. It does nothing if
// another one sends heartbeats. One that is down stays so, but a late heartbeat does not end its leave.
func (b *backend) markLeaving(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tracker != nil && b.lastHeartbeat.ID != id {
		return
	}
	b.log.Info("backend server leaving", zap.String("backend", id), zap.Stringer("state", b.state))
	if b.leaveAcked.IsZero() {
		b.leaveAcked = b.node.now()
		if b.tracker == nil {
			// An earlier process may have acknowledged the leave long ago.
			b.leaveAcked = b.leaveAcked.Add(-b.node.config.Bounds.DrainTimeout)
		}
	}
	b.leavingID = id
	if b.tracker != nil && b.state != BackendDown {
		b.state = BackendDraining
	}
	b.wake()
	b.changed.notify()
}

// learnRecordedLeave marks the backend server as leaving if the store records that it is: an earlier process
// acknowledged its leave, and a heartbeat that says otherwise was sent before. b.mu must be held.
func (b *backend) learnRecordedLeave() {
	if b.tracker == nil || !b.leaveAcked.IsZero() || b.state == BackendDown {
		return
	}
	m := b.node.views.current().Members[b.node.config.Instance]
	if !m.Leaving && m.State != BackendDraining || m.Owner != b.tracker.Owner() {
		return
	}
	b.log.Info("backend server leaving, as an earlier process recorded", zap.String("backend", m.Owner.Incarnation), zap.Stringer("state", b.state))
	// The earlier process may have acknowledged the leave long ago.
	b.leaveAcked = b.node.now().Add(-b.node.config.Bounds.DrainTimeout)
	b.leavingID = grant.IncarnationID(m.Owner.Incarnation)
	b.state = BackendDraining
	b.wake()
	b.changed.notify()
}

// recordKnown reports whether this process knows what the store records of the backend server, itself or from another node.
// Before that, a heartbeat from before an acknowledged leave looks like one of a server that does not leave.
func (b *backend) recordKnown() bool {
	view := b.node.views.current()
	_, recorded := view.Members[b.node.config.Instance]
	return recorded || view.Listed
}

// leaveRecordWait bounds how long the acknowledgement of a leave waits until the leave is recorded in the store,
// where the node's next process finds it. A leave counts as acknowledged if the response comes within a second.
const leaveRecordWait = 500 * time.Millisecond

// awaitLeaveRecorded waits until the leave of the backend server with the given id is recorded, up to
// leaveRecordWait. It does nothing if the store does not record that server.
func (b *backend) awaitLeaveRecorded(ctx context.Context, id string) {
	timer := time.NewTimer(leaveRecordWait)
	defer timer.Stop()
	for {
		view, changed := b.node.views.get()
		m := view.Members[b.node.config.Instance]
		if grant.IncarnationID(m.Owner.Incarnation) != id || m.Leaving || m.State == BackendDraining {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			b.log.Warn("leave acknowledged before it is recorded", zap.String("backend", id))
			return
		case <-ctx.Done():
			return
		}
	}
}
