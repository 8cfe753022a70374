package node

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/keyrange"
	"github.com/basilway/basilway/quarantine"
)

// crashWindow is the time within which the node finds all connections to a crashed backend
// server closed.
const crashWindow = time.Second

// recordPortClosed records that nothing listens on the backend server's port.
func (b *backend) recordPortClosed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.portClosedAt.IsZero() && b.state != BackendDown {
		b.portClosedAt = b.node.now()
		b.cold.Forget()
		b.log.Info("backend server port closed", zap.Int("in flight", len(b.running)), zap.Bool("leaving", !b.leaveAcked.IsZero()))
	}
	b.wake()
}

// checkClosed marks a backend server with a closed port as down once it has ended. A leaving
// one closes its port first, then finishes its requests, and keeps its keys until it ends.
func (b *backend) checkClosed(ctx context.Context) {
	b.mu.Lock()
	if b.portClosedAt.IsZero() || b.state == BackendDown || len(b.running) > 0 {
		b.mu.Unlock()
		return
	}
	leaving, closedFor := !b.leaveAcked.IsZero(), b.node.now().Sub(b.portClosedAt)
	b.mu.Unlock()
	if leaving && (closedFor < reconcileInterval || !b.portRefused(ctx)) {
		return
	}
	b.markDown(b.owner(), "port closed")
}

// markDown marks an incarnation as down. Requests that were in flight or were disconnected
// within crashWindow get a strike.
func (b *backend) markDown(owner keyrange.Owner, reason string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tracker == nil || b.tracker.Owner() != owner || b.state == BackendDown {
		return
	}
	b.log.Warn("backend server down", zap.String("backend", owner.Incarnation), zap.String("reason", reason),
		zap.Duration("last heartbeat", b.node.now().Sub(b.lastHeartbeatAt)), zap.Int("in flight", len(b.running)), zap.Int("cut", len(b.disconnected)))
	b.state = BackendDown
	b.cold.Forget()
	var crashed []quarantine.Fingerprint
	for f := range b.running {
		crashed = append(crashed, quarantine.Fingerprint(f))
	}
	for f, at := range b.disconnected {
		if time.Since(at) < crashWindow {
			crashed = append(crashed, quarantine.Fingerprint(f))
		}
	}
	clear(b.disconnected)
	b.unwrittenStrikes = append(b.unwrittenStrikes, b.strikes.Crashed(crashed, time.Now())...)
	b.wake()
	b.changed.notify()
}

// probePort reports whether nothing listens on the backend server's address any more.
func (b *backend) probePort(ctx context.Context) (refused bool) {
	ctx, cancel := context.WithTimeout(ctx, backendDialTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", b.pool.Address())
	if err == nil {
		conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
