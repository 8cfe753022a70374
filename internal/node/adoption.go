package node

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/grant"
	"github.com/basilway/basilway/internal/httpclient"
)

// adoptionTimeout is how long a restarted process sends requests to the backend server
// recorded in the store without a heartbeat from it. The backend server refuses requests
// for keys that it no longer holds.
const adoptionTimeout = 4 * time.Second

// adoptionAllows reports whether a request may be sent to the backend server recorded in the
// store before its first heartbeat to this process. b.mu must be held.
func (b *backend) adoptionAllows(t ticket) bool {
	view := b.node.views.current()
	m, ok := view.Members[b.node.config.Instance]
	if !ok || !b.adoptable || m.State != BackendReady || b.node.now().Sub(b.started) > adoptionTimeout {
		return false
	}
	if !t.sharded {
		return true
	}
	table, ok := view.Keys[t.service]
	if !ok {
		return false
	}
	r := table.Find(t.key)
	return r.Owner == m.Owner && !r.Moving()
}

// adopt lets requests be sent to the backend server recorded in the store before its first
// heartbeat, if it passes a health check. The record alone is not enough: an earlier process
// may have acknowledged the backend server's leave without writing it to the store.
func (b *backend) adopt(ctx context.Context) {
	view := b.node.views.current()
	m, ok := view.Members[b.node.config.Instance]
	if !ok || m.State != BackendReady || view.Routes == nil {
		return
	}
	if view.Evacuated.Leaving(b.node.config.Zone) {
		b.log.Info("recorded backend server not checked for adoption: its availability zone is evacuated", zap.String("backend", m.Owner.Incarnation))
		return
	}
	service, _ := view.Routes.Service(m.Service)
	healthy := b.checkHealth(ctx, service.HealthPath, m.Owner.Incarnation)
	b.log.Info("recorded backend server checked for adoption", zap.String("backend", m.Owner.Incarnation), zap.Bool("taken over", healthy))
	b.mu.Lock()
	b.adoptable = healthy
	known := b.tracker != nil
	b.mu.Unlock()
	if healthy && !known {
		b.queue.setSlots(m.Slots)
		b.capacity.reset(m.Owner.Incarnation, m.Slots)
	}
}

// checkHealth reports whether an incarnation of the backend server passes its health check. The
// response may name a limit, but does not end one.
func (b *backend) checkHealth(ctx context.Context, path, incarnation string) bool {
	if path == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, backendDialTimeout)
	defer cancel()
	sentAt := b.node.now()
	resp, err := b.pool.Do(ctx, httpclient.Exchange{Method: http.MethodGet, URI: path, Host: b.pool.Address(), Header: http.Header{}}, nil)
	if err != nil {
		b.log.Info("no response to health check", zap.Error(err))
		return false
	}
	defer resp.Body.Close()
	discardBody(resp.Body)
	if resp.Header.Get(b.node.headers.Backend) != grant.IncarnationID(incarnation) {
		return false
	}
	b.observeColdState(resp.Header, sentAt)
	b.observeUnstated(resp.Header)
	b.node.observeHeader(incarnation, "health check", resp.Header, time.Time{})
	return resp.StatusCode == http.StatusOK
}
