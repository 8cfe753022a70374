package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/internal/wire"
	"github.com/basilway/basilway/lease"
)

func (d *planDuty) forget(session cluster.Session) {
	delete(d.takeovers, session)
	delete(d.aliveUntil, session)
	d.watch.Forget(session)
}

// escalate takes the planner role, because a report was not settled in time, and
// goes on with the takeover.
func (d *planDuty) escalate(e lease.Expired) {
	d.box.post(func() {
		d.observeExpired(e)
		if d.replicas.cluster().Planner != d.session {
			d.takeRole()
		}
	})
}

// handleExpired takes a witness's report.
func (d *planDuty) handleExpired(ctx context.Context, e lease.Expired) (wire.Ack, error) {
	return wire.Ack{}, d.box.do(ctx, func() { d.observeExpired(e) })
}

func (d *planDuty) observeExpired(e lease.Expired) {
	if _, ok := d.replicas.cluster().Members[e.Session]; !ok || e.Session == d.session {
		return
	}
	d.startTakeover(e.Session, e.Witness)
}

func (d *planDuty) startTakeover(session, reporter cluster.Session) *takeover {
	t := d.takeovers[session]
	if t == nil {
		t = &takeover{machine: lease.NewTakeover(d.lease, session, reporter), reporter: reporter}
		d.takeovers[session] = t
		d.log.Info("session may be lost", zap.Stringer("lost", session), zap.Stringer("reporter", reporter))
		d.performTakeover(session, t, t.machine.Handle(time.Now(), lease.Tick{}))
	}
	return t
}

// fence is the operator's word that a session is stopped.
func (d *planDuty) fence(ctx context.Context, session cluster.Session) error {
	return d.box.do(ctx, func() {
		t := d.startTakeover(session, cluster.Session{})
		d.performTakeover(session, t, t.machine.Handle(time.Now(), lease.OperatorConfirmed{}))
		if d.replicas.cluster().Planner != d.session {
			d.takeRole()
		}
	})
}

func (d *planDuty) readyFences() []lease.CommitFence {
	var fences []lease.CommitFence
	for _, t := range d.takeovers {
		if t.fence != nil {
			fences = append(fences, *t.fence)
			t.fence = nil
		}
	}
	return fences
}

// performTakeover runs in the mailbox's goroutine.
func (d *planDuty) performTakeover(session cluster.Session, t *takeover, actions []lease.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case lease.ReadLostRow:
			go d.readLostRow(t, a)
		case lease.SendSeal:
			go d.sendSeal(t, a.Seal)
		case lease.CommitFence:
			t.fence = &a
		case lease.NeedOperator:
			d.log.Error("session was lost with most of its witnesses; run 'basilway fence' when it is stopped for certain",
				zap.Stringer("lost", a.Session))
		case lease.TakeoverDone:
			d.log.Info("takeover ended", zap.Stringer("lost", session), zap.Stringer("result", a.Result))
			d.finishTakeover(session, t, a)
		}
	}
}

func (d *planDuty) finishTakeover(session cluster.Session, t *takeover, a lease.TakeoverDone) {
	if a.Result == lease.TakeoverFenced {
		// The member entry goes with the fence; a fence whose record is missing here
		// was committed by another daemon, so the record is on its way.
		d.replicas.requestPoll()
	}
	d.forget(session)
	if a.Result == lease.TakeoverAlive {
		d.aliveUntil[session] = time.Now().Add(aliveRecheck)
	}
	if a.Result == lease.TakeoverAlive || a.Result == lease.TakeoverSuperseded {
		d.tellNotLost(t.reporter, session, a.Generation)
	}
}

// handle passes an event to a takeover that still runs.
func (d *planDuty) handle(session cluster.Session, t *takeover, event lease.Event) {
	_ = d.box.do(d.life, func() {
		if d.takeovers[session] == t {
			d.performTakeover(session, t, t.machine.Handle(time.Now(), event))
		}
	})
}

func (d *planDuty) sendSeal(t *takeover, m lease.Seal) {
	address := d.replicas.cluster().Members[m.Witness].Address
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(d.life, d.lease.GrantDuration)
	defer cancel()
	reply, err := call[lease.Sealed](ctx, d.peers, address, wire.KindSeal, m)
	if err != nil {
		d.log.Debug("seal not answered", zap.Stringer("witness", m.Witness), zap.Error(err))
		return
	}
	d.handle(m.Session, t, reply)
}
