package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/internal/wire"
	"github.com/basilway/basilway/lease"
)

func (w *planWorker) forget(session cluster.Session) {
	delete(w.takeovers, session)
	delete(w.aliveUntil, session)
	w.watch.Forget(session)
}

// escalate starts the takeover of a reported session, unless it is in progress, and makes
// this session the planner, because the planner is lost or did not handle the report in
// time.
func (w *planWorker) escalate(e lease.Expired) {
	w.mailbox.post(func() {
		w.observeExpired(e)
		if w.replicas.cluster().Planner != w.session {
			w.becomePlanner()
		}
	})
}

// handleExpired handles a witness's report of an expired grant.
func (w *planWorker) handleExpired(ctx context.Context, e lease.Expired) (wire.Ack, error) {
	return wire.Ack{}, w.mailbox.do(ctx, func() { w.observeExpired(e) })
}

func (w *planWorker) observeExpired(e lease.Expired) {
	if _, ok := w.replicas.cluster().Members[e.Session]; !ok || e.Session == w.session {
		return
	}
	w.startTakeover(e.Session, e.Witness)
}

func (w *planWorker) startTakeover(session, reporter cluster.Session) *takeover {
	t := w.takeovers[session]
	if t == nil {
		t = &takeover{machine: lease.NewTakeover(w.lease, session, reporter), reporter: reporter}
		w.takeovers[session] = t
		w.log.Info("session may be lost", zap.Stringer("lost", session), zap.Stringer("reporter", reporter))
		w.performTakeover(session, t, t.machine.Handle(time.Now(), lease.Tick{}))
	}
	return t
}

// fence takes over a session that an operator has confirmed to be stopped.
func (w *planWorker) fence(ctx context.Context, session cluster.Session) error {
	return w.mailbox.do(ctx, func() {
		t := w.startTakeover(session, cluster.Session{})
		w.performTakeover(session, t, t.machine.Handle(time.Now(), lease.OperatorConfirmed{}))
		if w.replicas.cluster().Planner != w.session {
			w.becomePlanner()
		}
	})
}

func (w *planWorker) takeReadyFences() []lease.CommitFence {
	var fences []lease.CommitFence
	for _, t := range w.takeovers {
		if t.fence != nil {
			fences = append(fences, *t.fence)
			t.fence = nil
		}
	}
	return fences
}

// performTakeover runs in the mailbox's goroutine.
func (w *planWorker) performTakeover(session cluster.Session, t *takeover, actions []lease.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case lease.ReadLostRows:
			go w.readLostRows(t, a)
		case lease.SendSeal:
			go w.sendSeal(t, a.Seal)
		case lease.CommitFence:
			t.fence = &a
		case lease.NeedOperator:
			w.log.Error("session and most of its witnesses were lost; run 'basilway fence' after making sure that it has stopped",
				zap.Stringer("lost", a.Session))
		case lease.TakeoverDone:
			w.log.Info("takeover ended", zap.Stringer("lost", session), zap.Stringer("result", a.Result))
			w.finishTakeover(session, t, a)
		}
	}
}

func (w *planWorker) finishTakeover(session cluster.Session, t *takeover, a lease.TakeoverDone) {
	if a.Result == lease.TakeoverFenced {
		// The fence removes the member entry in the same transaction. If the record is
		// missing here, another daemon has committed it, so it can be read from the
		// store.
		w.replicas.requestPoll()
	}
	w.forget(session)
	if a.Result == lease.TakeoverAlive {
		w.aliveUntil[session] = time.Now().Add(aliveRecheck)
	}
	if a.Result == lease.TakeoverAlive || a.Result == lease.TakeoverSuperseded {
		w.sendNotLost(t.reporter, session, a.Generation)
	}
}

// handle passes an event to a takeover if it is still in progress.
func (w *planWorker) handle(session cluster.Session, t *takeover, event lease.Event) {
	_ = w.mailbox.do(w.baseCtx, func() {
		if w.takeovers[session] == t {
			w.performTakeover(session, t, t.machine.Handle(time.Now(), event))
		}
	})
}

func (w *planWorker) sendSeal(t *takeover, m lease.Seal) {
	address := w.replicas.cluster().Members[m.Witness].Address
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(w.baseCtx, w.lease.GrantDuration)
	defer cancel()
	reply, err := call[lease.Sealed](ctx, w.peers, address, wire.KindSeal, m)
	if err != nil {
		w.log.Debug("no response to a seal request", zap.Stringer("witness", m.Witness), zap.Error(err))
		return
	}
	w.handle(m.Session, t, reply)
}
