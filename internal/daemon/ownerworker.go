package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/dedupe"
	"github.com/basilway/basilway/internal/wire"
	"github.com/basilway/basilway/ownership"
	"github.com/basilway/basilway/verdict"
)

const (
	// ownerMailboxSize bounds the events queued for the owner worker.
	ownerMailboxSize = 4096
	// ownerTick is the resolution of the owner worker's timers.
	ownerTick = 20 * time.Millisecond
	// handoverTimeout bounds one attempt to send a handover or a released message.
	handoverTimeout = time.Second
)

// ownerWorker runs the state machine of this session's units and performs its actions.
type ownerWorker struct {
	log        *zap.Logger
	session    cluster.Session
	peers      transport
	state      func() *cluster.State
	ids        *idMemory
	quarantine *sharedQuarantine
	gate       *ownership.Gate
	mailbox    *mailbox

	// closeBackend cancels the requests on a frozen backend server.
	closeBackend func()
	// requestMove tells the planner that units must move away.
	requestMove func(ownership.MoveReason)
	// observeMoveWait is called with the time that each request waited for its unit to
	// move.
	observeMoveWait func(time.Duration)
	// drained is closed when, after a drain request, the session owns no units and has no
	// requests in flight or queued.
	drained chan struct{}
	// removed is closed when the cluster state no longer contains this session.
	removed     chan struct{}
	removedOnce sync.Once

	machine *ownership.Machine // used only in the mailbox's goroutine
	// baseCtx is cancelled when the session ends. Actions use it because they can outlive
	// the request that caused them.
	baseCtx context.Context

	lastQueuedID atomic.Uint64
	mu           sync.Mutex
	queued       map[uint64]chan error // nil error: admit again
}

func newOwnerWorker(ctx context.Context, log *zap.Logger, config ownership.Config, peers transport, ids *idMemory, quarantine *sharedQuarantine) *ownerWorker {
	machine := ownership.New(config, time.Now())
	return &ownerWorker{
		baseCtx: ctx, log: log, session: config.Self, peers: peers, ids: ids, quarantine: quarantine,
		gate: machine.Gate(), machine: machine, mailbox: newMailbox(ownerMailboxSize),
		closeBackend: func() {}, requestMove: func(ownership.MoveReason) {}, observeMoveWait: func(time.Duration) {},
		drained: make(chan struct{}), removed: make(chan struct{}), queued: map[uint64]chan error{},
	}
}

// run ticks the machine until the session ends.
func (w *ownerWorker) run() {
	go w.mailbox.run(w.baseCtx)
	ticker := time.NewTicker(ownerTick)
	defer ticker.Stop()
	for {
		select {
		case <-w.baseCtx.Done():
			return
		case <-ticker.C:
			_ = w.mailbox.do(w.baseCtx, func() {
				now := time.Now()
				if next := w.machine.NextTick(); !next.IsZero() && !now.Before(next) {
					w.step(ownership.Tick{}, now)
				}
			})
		}
	}
}

// handle passes an event to the machine and waits until it is processed.
func (w *ownerWorker) handle(ctx context.Context, event ownership.Event) error {
	return w.mailbox.do(ctx, func() { w.step(event, time.Now()) })
}

// step runs in the mailbox's goroutine.
func (w *ownerWorker) step(event ownership.Event, now time.Time) {
	for _, action := range w.machine.Handle(event, now) {
		w.perform(action)
	}
}

func (w *ownerWorker) perform(action ownership.Action) {
	switch a := action.(type) {
	case ownership.SendHandover:
		go w.sendHandover(a)
	case ownership.SendReleased:
		go w.sendReleased(a.Message)
	case ownership.RequestMove:
		w.requestMove(a.Reason)
	case ownership.StartQueued:
		w.wake(a.ID, nil)
	case ownership.RejectQueued:
		w.wake(a.ID, a.Err)
	case ownership.RaiseFloor:
		w.ids.with(func(m *dedupe.Memory) { m.RaiseFloor(a.Span, a.FloorMS) })
	case ownership.SetUnits:
		w.ids.with(func(m *dedupe.Memory) { m.SetUnits(a.Service, a.Starts, a.HotKeys) })
	case ownership.CloseBackend:
		w.closeBackend()
	case ownership.Drained:
		close(w.drained)
	case ownership.SessionRemoved:
		w.removedOnce.Do(func() { close(w.removed) })
	}
}

func (w *ownerWorker) sendHandover(a ownership.SendHandover) {
	address := w.state().Members[a.To].Address
	now := time.Now()
	message := ownership.Handover{Unit: a.Unit, From: w.session, Move: a.Move, Quarantine: w.quarantine.records(now)}
	w.ids.with(func(m *dedupe.Memory) { message.IDs = m.Export(a.Span, a.FloorMS, now) })
	ctx, cancel := context.WithTimeout(w.baseCtx, handoverTimeout)
	defer cancel()
	if _, err := call[wire.Ack](ctx, w.peers, address, wire.KindHandover, message); err != nil {
		w.log.Info("handover not accepted", zap.Stringer("to", a.To), zap.Error(err))
		return
	}
	_ = w.handle(w.baseCtx, ownership.HandoverAcked{Unit: a.Unit, Move: a.Move})
}

// handleHandover imports the request ids and quarantine records of a unit that moves to
// this session.
func (w *ownerWorker) handleHandover(ctx context.Context, m ownership.Handover) (wire.Ack, error) {
	now := time.Now()
	w.quarantine.merge(m.Quarantine, now)
	w.ids.with(func(memory *dedupe.Memory) { memory.Import(m.IDs, now) })
	return wire.Ack{}, w.handle(ctx, ownership.HandoverReceived{Unit: m.Unit, Move: m.Move})
}

func (w *ownerWorker) sendReleased(m ownership.Released) {
	state := w.state()
	address := state.Members[state.Planner].Address
	accepted := false
	if address != "" {
		callCtx, cancel := context.WithTimeout(w.baseCtx, handoverTimeout)
		defer cancel()
		reply, err := call[wire.ReleasedReply](callCtx, w.peers, address, wire.KindReleased, m)
		accepted = err == nil && reply.Accepted
	}
	_ = w.handle(w.baseCtx, ownership.ReleasedAnswered{Unit: m.Unit, Move: m.Move, Accepted: accepted})
}

// admit waits until this session serves the key's unit, and counts the request as in
// flight. The error has verdict NotRun.
func (w *ownerWorker) admit(ctx context.Context, service string, hash uint64, deadline time.Time) (ownership.Ticket, error) {
	for {
		decision, ticket, err := w.gate.Admit(service, hash, deadline, time.Now())
		if err != nil || decision == ownership.Serve {
			return ticket, err
		}
		if err := w.queue(ctx, service, hash, deadline); err != nil {
			return ownership.Ticket{}, err
		}
	}
}

// queue queues a request of a moving unit and waits until the machine starts or rejects
// it.
func (w *ownerWorker) queue(ctx context.Context, service string, hash uint64, deadline time.Time) error {
	begin := time.Now()
	defer func() { w.observeMoveWait(time.Since(begin)) }()
	id := w.lastQueuedID.Add(1)
	wake := make(chan error, 1)
	w.mu.Lock()
	w.queued[id] = wake
	w.mu.Unlock()
	request := ownership.QueuedRequest{ID: id, Service: service, Hash: hash, Deadline: deadline}
	if err := w.handle(ctx, ownership.RequestQueued{Request: request}); err != nil {
		w.removeQueued(id)
		return queueError(ctx)
	}
	select {
	case err := <-wake:
		return err
	case <-w.baseCtx.Done():
		return ownership.ErrLeaseLost
	case <-ctx.Done():
		w.removeQueued(id)
		w.mailbox.post(func() { w.step(ownership.RequestCancelled{ID: id}, time.Now()) })
		return queueError(ctx)
	}
}

// end ends an admitted request.
func (w *ownerWorker) end(ticket ownership.Ticket) {
	if w.gate.End(ticket) {
		// The machine also polls, so an event that is dropped because the mailbox is full
		// only causes a delay.
		w.mailbox.post(func() { w.step(ownership.RequestEnded{}, time.Now()) })
	}
}

func (w *ownerWorker) wake(id uint64, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if wake := w.queued[id]; wake != nil {
		delete(w.queued, id)
		wake <- err
	}
}

func (w *ownerWorker) removeQueued(id uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.queued, id)
}

// queueError returns the error of a request that was queued for a moving unit and did not
// run.
func queueError(ctx context.Context) error {
	if ctx.Err() != nil {
		return contextError(ctx, verdict.NotRun)
	}
	return ownership.ErrLeaseLost // the session ended
}
