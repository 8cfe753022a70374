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

// crashWindow is the time within which the connections of a backend server that crashed
// are found to be ended.
const crashWindow = time.Second

// portClosed notes that nobody listens at the backend server's port.
func (b *backend) portClosed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closedAt.IsZero() && b.state != BackendDown {
		b.closedAt = boottimeNow()
		b.log.Info("port of the backend server is closed", zap.Int("in flight", len(b.running)), zap.Bool("leaving", !b.leaveAcked.IsZero()))
	}
	b.wake()
}

// checkClosed finds out whether a backend server with a closed port ended. One that leaves
// closes its port first and finishes its requests then, and keeps its keys until the end.
func (b *backend) checkClosed(ctx context.Context) {
	b.mu.Lock()
	if b.closedAt.IsZero() || b.state == BackendDown || len(b.running) > 0 {
		b.mu.Unlock()
		return
	}
	leaving, closedFor := !b.leaveAcked.IsZero(), boottimeNow().Sub(b.closedAt)
	b.mu.Unlock()
	if leaving && (closedFor < memberTick || !b.probe(ctx)) {
		return
	}
	b.down(b.owner(), "its port is closed")
}

// down notes that an incarnation ended. Requests that were in flight get a strike.
func (b *backend) down(owner keyrange.Owner, why string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.holder == nil || b.holder.Owner() != owner || b.state == BackendDown {
		return
	}
	b.log.Warn("backend server down", zap.String("backend", owner.Incarnation), zap.String("reason", why),
		zap.Duration("last heartbeat", boottimeNow().Sub(b.lastAt)), zap.Int("in flight", len(b.running)), zap.Int("cut", len(b.cut)))
	b.state = BackendDown
	var lost []quarantine.Fingerprint
	for f := range b.running {
		lost = append(lost, quarantine.Fingerprint(f))
	}
	for f, at := range b.cut {
		if time.Since(at) < crashWindow {
			lost = append(lost, quarantine.Fingerprint(f))
		}
	}
	clear(b.cut)
	b.records = append(b.records, b.strikes.Crashed(lost, time.Now())...)
	b.wake()
	b.changed.notify()
}

// probe reports whether nobody listens at the backend server's address any more.
func (b *backend) probe(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, backendDialTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", b.pool.Address())
	if err == nil {
		conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
