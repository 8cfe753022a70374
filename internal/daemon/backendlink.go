package daemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/basilway/basilway/admission"
	"github.com/basilway/basilway/internal/backend"
	"github.com/basilway/basilway/internal/config"
	"github.com/basilway/basilway/ownership"
	"github.com/basilway/basilway/planner"
	"github.com/basilway/basilway/quarantine"
)

// backendLink connects the client of the backend server to the daemon's workers.
type backendLink struct {
	daemon *Daemon
	client *backend.Client
	// announcement is that of the latest server process that came up; its zero value
	// means none.
	announcement atomic.Pointer[backend.Announcement]
}

func newBackendLink(d *Daemon) *backendLink {
	l := &backendLink{daemon: d, client: backend.NewClient(backend.Config{Instance: d.config.Instance, Logger: d.log})}
	l.announcement.Store(&backend.Announcement{})
	return l
}

// run handles the notices of the client until ctx ends.
func (l *backendLink) run(ctx context.Context) {
	defer l.client.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-l.client.Notices():
			l.handle(n)
		}
	}
}

func (l *backendLink) handle(n backend.Notice) {
	d := l.daemon
	if n.Action == backend.ReportLost {
		d.current.Load().backendCrashed(fingerprints(n.Lost), true)
		return
	}
	d.log.Info("backend server state changed", zap.Stringer("state", l.client.Status().State), zap.String("url", n.Server.URL))
	switch n.Action {
	case backend.ReportUp:
		l.announcement.Store(&n.Server)
		d.slots.update(func(c *admission.Controller, now time.Time) admission.Actions {
			return c.ServerStarted(n.Server.Slots, now)
		})
	case backend.ReportDown:
		d.current.Load().backendCrashed(fingerprints(n.Lost), false)
	}
	d.current.Load().backendChanged()
	d.updateLimits()
}

func fingerprints(lost []backend.LostRequest) []quarantine.Fingerprint {
	out := make([]quarantine.Fingerprint, 0, len(lost))
	for _, r := range lost {
		out = append(out, quarantine.Fingerprint(r.Fingerprint))
	}
	return out
}

// announced returns the latest announcement of the backend server, zero values before the
// first.
func (l *backendLink) announced() (service string, slots uint32, checksGrants bool) {
	a := l.announcement.Load()
	return a.Service, uint32(a.Slots), a.ChecksGrants
}

// serves reports whether the backend server beside this daemon runs service.
func (l *backendLink) serves(service string) bool { return l.announcement.Load().Service == service }

func (l *backendLink) ownershipState() ownership.BackendState {
	switch l.client.Status().State {
	case backend.Up:
		return ownership.BackendUp
	case backend.Frozen:
		return ownership.BackendFrozen
	default:
		return ownership.BackendDown
	}
}

func (l *backendLink) stateName() string { return l.client.Status().State.String() }

func (l *backendLink) loadStatus() planner.Status {
	s := l.client.Status()
	return planner.Status{
		Occupied: uint32(s.InFlight), ClaimedLoad: s.Utilization * float64(s.Server.Slots), Down: s.State != backend.Up,
	}
}

// announceHandler returns the handler of AnnounceService. A backend server runs on the
// instance of its daemon, so callers elsewhere need an operator key.
func (l *backendLink) announceHandler(listen net.Addr, keys config.Keys, options connect.HandlerOption) (string, http.Handler) {
	guard := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			if !sameInstance(req.Peer().Addr, listen) && !authorized(keys, req) {
				return nil, connect.NewError(connect.CodeUnauthenticated, errUnauthorized)
			}
			return next(ctx, req)
		}
	})
	return backend.NewAnnounceHandler(l.client, options, connect.WithInterceptors(guard))
}

// sameInstance reports whether a caller is on this instance: on loopback, or at the
// address that the daemon itself listens on.
func sameInstance(remote string, listen net.Addr) bool {
	from, err := netip.ParseAddrPort(remote)
	if err != nil {
		return false
	}
	if from.Addr().Unmap().IsLoopback() {
		return true
	}
	own, err := netip.ParseAddrPort(listen.String())
	return err == nil && own.Addr() == from.Addr()
}

// updateLimits applies the limits that the catalogue sets for the backend server's
// service.
func (d *Daemon) updateLimits() {
	service, _, _ := d.backend.announced()
	entry, ok := d.replicas.catalogue().Get(service)
	if !ok {
		return
	}
	servers := len(d.replicas.cluster().MembersOf(service))
	limits := admission.FromEntry(entry, servers)
	d.slots.update(func(c *admission.Controller, now time.Time) admission.Actions { return c.SetLimits(limits, now) })
}
