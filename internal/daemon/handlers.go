package daemon

import (
	"context"
	"time"

	"github.com/basilway/basilway/feed"
	"github.com/basilway/basilway/internal/peer"
	"github.com/basilway/basilway/internal/wire"
	"github.com/basilway/basilway/lease"
	"github.com/basilway/basilway/ownership"
	"github.com/basilway/basilway/verdict"
)

// registerHandlers registers the handlers of messages from other daemons. Messages for a
// session go to the current one, which refuses those for an earlier one.
func (d *Daemon) registerHandlers(server *peer.Server) {
	register(server, wire.KindForward, d.router.handleForward)
	register(server, wire.KindDigest, d.replicas.handleDigest)
	register(server, wire.KindSnapshot, d.replicas.handleSnapshot)
	register(server, wire.KindPush, d.handlePush)
	register(server, wire.KindStrikes, d.handleStrikes)
	register(server, wire.KindRenew, func(ctx context.Context, m lease.Renew) (wire.RenewReply, error) {
		return d.current.Load().lease.handleRenew(ctx, m)
	})
	register(server, wire.KindSeal, func(ctx context.Context, m lease.Seal) (lease.Sealed, error) {
		return d.current.Load().lease.handleSeal(ctx, m)
	})
	register(server, wire.KindExpired, func(ctx context.Context, m lease.Expired) (wire.Ack, error) {
		return d.current.Load().plan.handleExpired(ctx, m)
	})
	register(server, wire.KindNotLost, func(_ context.Context, m wire.NotLost) (wire.Ack, error) {
		d.current.Load().lease.notLost(m.Session, m.Generation)
		return wire.Ack{}, nil
	})
	register(server, wire.KindHandover, func(ctx context.Context, m ownership.Handover) (wire.Ack, error) {
		return d.current.Load().owner.handleHandover(ctx, m)
	})
	register(server, wire.KindReleased, func(ctx context.Context, m ownership.Released) (wire.ReleasedReply, error) {
		return d.current.Load().plan.handleReleased(ctx, m)
	})
	register(server, wire.KindLoad, func(ctx context.Context, m wire.LoadReports) (wire.Ack, error) {
		return d.current.Load().load.handle(ctx, m)
	})
}

// register adds a handler with typed messages. A malformed message is rejected with
// NotRun.
func register[Message, Reply any](server *peer.Server, kind wire.Kind, handle func(context.Context, Message) (Reply, error)) {
	server.Handle(uint8(kind), func(ctx context.Context, _ peer.Info, body []byte) ([]byte, error) {
		message, err := wire.Decode[Message](body)
		if err != nil {
			return nil, verdict.New(verdict.NotRun, verdict.ReasonInvalid, "%v", err)
		}
		reply, err := handle(ctx, message)
		if err != nil {
			return nil, err
		}
		return wire.Encode(reply)
	})
}

func (d *Daemon) handlePush(_ context.Context, m wire.Push) (wire.Ack, error) {
	if m.Topic == feed.TopicCluster || m.Topic == feed.TopicCatalogue {
		d.replicas.applyAsync(d.baseCtx, m.Topic, m.Records, m.From)
	}
	return wire.Ack{}, nil
}

func (d *Daemon) handleStrikes(_ context.Context, m wire.Strikes) (wire.Ack, error) {
	if d.current.Load().quarantine.merge(m.Records, time.Now()) {
		d.gossipStrikes(m.Records, m.From)
	}
	return wire.Ack{}, nil
}
