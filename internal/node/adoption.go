package node

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/grant"
	"github.com/basilway/basilway/internal/httpclient"
)

// adoptFor is how long a process that started serves the backend server that an earlier
// process knew, until a heartbeat arrives. The backend server refuses requests for keys
// that it no longer holds.
const adoptFor = 4 * time.Second

// adopted reports whether a request may be sent to the backend server that the store
// names, before its first heartbeat to this process. b.mu must be held.
func (b *backend) adopted(t ticket) bool {
	view := b.node.views.current()
	m, ok := view.Members[b.node.config.Instance]
	if !ok || !b.adoptable || m.State != BackendReady || boottimeNow().Sub(b.started) > adoptFor {
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

// adopt takes the backend server over that the store names, before its first heartbeat, if
// it says that it is healthy: an earlier process may have acknowledged its leave without
// the store knowing.
func (b *backend) adopt(ctx context.Context) {
	view := b.node.views.current()
	m, ok := view.Members[b.node.config.Instance]
	if !ok || m.State != BackendReady || view.Routes == nil {
		return
	}
	service, _ := view.Routes.Service(m.Service)
	healthy := b.healthy(ctx, service.HealthPath, grant.IncarnationID(m.Owner.Incarnation))
	b.log.Info("backend server of the store", zap.String("backend", m.Owner.Incarnation), zap.Bool("taken over", healthy))
	b.mu.Lock()
	b.adoptable = healthy
	known := b.holder != nil
	b.mu.Unlock()
	if healthy && !known {
		b.lane.setSlots(m.Slots)
	}
}

// healthy reports whether the backend server with an id answers its health check.
func (b *backend) healthy(ctx context.Context, path, id string) bool {
	if path == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, backendDialTimeout)
	defer cancel()
	resp, err := b.pool.Do(ctx, httpclient.Exchange{Method: http.MethodGet, URI: path, Host: b.pool.Address(), Header: http.Header{}}, nil)
	if err != nil {
		b.log.Info("no answer to a health check", zap.Error(err))
		return false
	}
	defer resp.Body.Close()
	drain(resp.Body)
	return resp.StatusCode == http.StatusOK && resp.Header.Get(b.node.headers.Backend) == id
}
