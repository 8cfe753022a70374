package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/basilway/basilway/catalogue"
	"github.com/basilway/basilway/internal/peer"
	"github.com/basilway/basilway/internal/wire"
	"github.com/basilway/basilway/keyspace"
	"github.com/basilway/basilway/ownership"
	"github.com/basilway/basilway/verdict"
)

// followRoute reports whether the request failed because the route has changed and
// this daemon now knows the new one.
func (r *router) followRoute(ctx context.Context, err error) bool {
	var detail wire.NotOwner
	if found, decodeErr := peer.DecodeDetail(err, &detail); found && decodeErr == nil {
		if detail.Address != "" {
			r.replicas.requestExchange(detail.Address)
		}
		return r.waitForVersion(ctx, detail.Version)
	}
	var notOwner *ownership.NotOwnerError
	if errors.As(err, &notOwner) {
		return r.waitForVersion(ctx, notOwner.Version)
	}
	if verdict.From(err).Reason == verdict.ReasonPeerLost {
		r.exchangeWithAnyMember()
	}
	return false
}

// exchangeWithAnyMember requests an exchange with a random member, which may know the new
// owners of a lost daemon's keys. It does so once per lostPeerExchangeInterval at most.
func (r *router) exchangeWithAnyMember() {
	now := time.Now().UnixNano()
	last := r.lastExchangeNanos.Load()
	if now-last < int64(lostPeerExchangeInterval) || !r.lastExchangeNanos.CompareAndSwap(last, now) {
		return
	}
	for _, m := range r.replicas.cluster().Members { // the order of a map is random
		r.replicas.requestExchange(m.Address)
		return
	}
}

// waitForVersion waits until this daemon has applied a cluster version, for
// versionWaitTimeout at most, and reports whether it has.
func (r *router) waitForVersion(ctx context.Context, version uint64) bool {
	limit := time.Now().Add(versionWaitTimeout)
	for r.replicas.cluster().Version < version {
		if time.Now().After(limit) || sleepContext(ctx, 2*time.Millisecond) != nil {
			return false
		}
	}
	return true
}

// handleForward runs a request that another daemon forwarded. It is never forwarded
// again, so daemons with different routes cannot form a loop.
func (r *router) handleForward(ctx context.Context, request wire.Request) (wire.Reply, error) {
	r.metrics.received.Inc()
	if r.draining() {
		return wire.Reply{}, errDraining()
	}
	if !r.loaded() {
		return wire.Reply{}, verdict.New(verdict.NotRun, verdict.ReasonStarting,
			"this daemon has not read the cluster yet").WithRetryAfter(startRetry)
	}
	entry, ok := r.replicas.catalogue().Get(request.Service)
	if !ok {
		// The sender has a later catalogue; the class only sets the request's priority.
		entry = catalogue.Entry{Service: request.Service, Class: catalogue.ClassStandard}
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, entry.Limits.Timeout())
		defer cancel()
	}
	hash := keyspace.Hash(request.Service, request.Key)
	reply, err := r.session().server.serve(ctx, request, entry, hash)
	var notOwner *ownership.NotOwnerError
	if errors.As(err, &notOwner) {
		detail := wire.NotOwner{Version: notOwner.Version, Owner: notOwner.Owner,
			Address: r.replicas.cluster().Members[notOwner.Owner].Address}
		return wire.Reply{}, peer.WithDetail(verdict.From(err), detail)
	}
	return reply, err
}
