package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/freshness"
	"github.com/basilway/basilway/httproute"
	"github.com/basilway/basilway/verdict"
)

const (
	// maxRoutesWait bounds how long a request waits for a newer desired state that is known to exist.
	maxRoutesWait = 300 * time.Millisecond
	// outdatedRetryAfter is the Retry-After of requests that waited in vain.
	outdatedRetryAfter = 300 * time.Millisecond
)

// routeOf returns the desired state and the route by which a request is handled; the route is nil if there is none for
// it. While a newer desired state is known to exist, a request waits for it if the one in force has no route, or may no
// longer be used; after maxRoutesWait it is refused.
func (n *Node) routeOf(ctx context.Context, host, path string) (*httproute.Table, *httproute.Route, *verdict.Error) {
	var timeout <-chan time.Time
	for {
		view, changed := n.views.get()
		if view.Routes == nil {
			return nil, nil, verdict.New(verdict.NotRun, verdict.ReasonStarting, "no desired state is known yet").WithRetryAfter(startingRetryAfter)
		}
		route, ok := view.Routes.Match(host, path)
		if judged := n.freshness.judge(); judged == freshness.Current || judged == freshness.Tolerated && ok {
			return view.Routes, route, nil
		}
		if timeout == nil {
			timer := time.NewTimer(maxRoutesWait)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-changed:
		case <-timeout:
			return nil, nil, outdatedRefusal("desired state %d is outdated, and the newer one has not arrived", view.Routes.Version)
		case <-ctx.Done():
			return nil, nil, verdict.New(verdict.NotRun, verdict.ReasonCancelled, "caller gave up while a newer desired state was on the way")
		}
	}
}

func outdatedRefusal(format string, args ...any) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonOutdatedRoutes, format, args...).WithRetryAfter(outdatedRetryAfter)
}

// routesGate returns why a request must not be sent to the local backend server by the desired state by which it was
// routed, or nil: a newer one is in force here, and does not allow it.
func (n *Node) routesGate(t ticket) *verdict.Error {
	routes := n.views.current().Routes
	if t.version == 0 || routes == nil || routes.Version <= t.version {
		return nil
	}
	route, ok := routes.Match(t.host, t.path)
	if !ok || !route.HasDestination(t.service) {
		return outdatedRefusal("routed by desired state %d; %d does not send it to %s", t.version, routes.Version, t.service)
	}
	return n.regionGate(route, Member{Zone: n.config.Zone})
}

// reroute routes a request anew by a newer desired state than before, for which it waits. It returns why the
// request is refused, or nil if it may be tried again.
func (n *Node) reroute(ctx context.Context, req *request) *verdict.Error {
	timer := time.NewTimer(min(maxRoutesWait, time.Until(req.ticket.target)))
	defer timer.Stop()
	for {
		view, changed := n.views.get()
		if routes := view.Routes; routes != nil && routes.Version > req.ticket.version {
			return n.rerouteBy(routes, req)
		}
		select {
		case <-changed:
		case <-timer.C:
			return outdatedRefusal("desired state %d is outdated, and the newer one has not arrived", req.ticket.version)
		case <-ctx.Done():
			return verdict.New(verdict.NotRun, verdict.ReasonCancelled, "caller gave up while a newer desired state was on the way")
		}
	}
}

// rerouteBy routes a request by a desired state. If that treats the request in another way, the caller is to send it
// again.
func (n *Node) rerouteBy(routes *httproute.Table, req *request) *verdict.Error {
	t := &req.ticket
	route, ok := routes.Match(t.host, t.path)
	if !ok {
		return outdatedRefusal("desired state %d has no route for it", routes.Version)
	}
	service := t.service
	if !route.HasDestination(service) {
		service = route.Pick(n.sequence.Add(1))
	}
	if info, _ := routes.Service(service); route.Kind != t.kind || info.Sharded != t.sharded {
		return outdatedRefusal("desired state %d has another kind of route for it", routes.Version)
	}
	n.events.request("request routed anew", req.exchange.ID, zap.String("route", route.Name), zap.String("service", service),
		zap.Uint64("version", routes.Version), zap.Uint64("before", t.version))
	req.route, req.visited = route, nil
	t.routedBy(routes, route, service)
	return nil
}
