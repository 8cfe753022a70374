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
	// ownerMailboxSize bounds the events that wait for the owner duty.
	ownerMailboxSize = 4096
	// ownerTick is the resolution of the owner duty's timers.
	ownerTick = 20 * time.Millisecond
	// handOverTimeout bounds one attempt to send a hand-over message.
	handOverTimeout = time.Second
)

// ownerDuty owns the state machine of this daemon's units and does what it decides.
type ownerDuty struct {
	log      *zap.Logger
	session  cluster.Session
	peers    transport
	state    func() *cluster.State
	ids      *idMemory
	suspects *suspects
	gate     *ownership.Gate
	box      *mailbox

	// closeBackend closes the connections to a frozen backend server.
	closeBackend func()
	// askMove tells the planner that units must move away.
	askMove func(ownership.MoveReason)
	// queuedFor is called with the time that each request waited for its unit to move.
	queuedFor func(time.Duration)
	// closed is closed when a drained daemon owns nothing.
	closed chan struct{}
	// removed is closed when the cluster state no longer has this session.
	removed     chan struct{}
	removedOnce sync.Once

	machine *ownership.Machine // used only in the mailbox's goroutine
	// life ends with the duty. Actions outlive the request that caused them.
	life context.Context

	queuedID atomic.Uint64
	mu       sync.Mutex
	queued   map[uint64]chan error // nil error: admit again
}

func newOwnerDuty(life context.Context, log *zap.Logger, config ownership.Config, peers transport, ids *idMemory, suspects *suspects) *ownerDuty {
	machine := ownership.New(config, time.Now())
	return &ownerDuty{
		life: life, log: log, session: config.Self, peers: peers, ids: ids, suspects: suspects,
		gate: machine.Gate(), machine: machine, box: newMailbox(ownerMailboxSize),
		closeBackend: func() {}, askMove: func(ownership.MoveReason) {}, queuedFor: func(time.Duration) {},
		closed: make(chan struct{}), removed: make(chan struct{}), queued: map[uint64]chan error{},
	}
}

// run ticks the machine until the duty's life ends.
func (d *ownerDuty) run() {
	go d.box.run(d.life)
	ticker := time.NewTicker(ownerTick)
	defer ticker.Stop()
	for {
		select {
		case <-d.life.Done():
			return
		case <-ticker.C:
			_ = d.box.do(d.life, func() {
				now := time.Now()
				if next := d.machine.NextTick(); !next.IsZero() && !now.Before(next) {
					d.step(ownership.Tick{}, now)
				}
			})
		}
	}
}

// handle passes an event to the machine and waits until it is processed.
func (d *ownerDuty) handle(ctx context.Context, event ownership.Event) error {
	return d.box.do(ctx, func() { d.step(event, time.Now()) })
}

// step runs in the mailbox's goroutine.
func (d *ownerDuty) step(event ownership.Event, now time.Time) {
	for _, action := range d.machine.Handle(event, now) {
		d.perform(action)
	}
}

func (d *ownerDuty) perform(action ownership.Action) {
	switch a := action.(type) {
	case ownership.SendHandOver:
		go d.sendHandOver(a)
	case ownership.SendReleased:
		go d.sendReleased(a.Message)
	case ownership.AskMove:
		d.askMove(a.Reason)
	case ownership.StartQueued:
		d.wake(a.ID, nil)
	case ownership.RejectQueued:
		d.wake(a.ID, a.Err)
	case ownership.RaiseFloor:
		d.ids.with(func(m *dedupe.Memory) { m.RaiseFloor(a.Span, a.FloorMS) })
	case ownership.SetUnits:
		d.ids.with(func(m *dedupe.Memory) { m.SetUnits(a.Service, a.Starts, a.HotKeys) })
	case ownership.CloseBackend:
		d.closeBackend()
	case ownership.Closed:
		close(d.closed)
	case ownership.SessionRemoved:
		d.removedOnce.Do(func() { close(d.removed) })
	}
}

func (d *ownerDuty) sendHandOver(a ownership.SendHandOver) {
	address := d.state().Members[a.To].Address
	now := time.Now()
	message := ownership.HandOver{Unit: a.Unit, From: d.session, Move: a.Move, Quarantine: d.suspects.records(now)}
	d.ids.with(func(m *dedupe.Memory) { message.IDs = m.Export(a.Span, a.FloorMS, now) })
	ctx, cancel := context.WithTimeout(d.life, handOverTimeout)
	defer cancel()
	if _, err := call[wire.Ack](ctx, d.peers, address, wire.KindHandOver, message); err != nil {
		d.log.Info("hand-over not accepted", zap.Stringer("to", a.To), zap.Error(err))
		return
	}
	_ = d.handle(d.life, ownership.HandOverAcked{Unit: a.Unit, Move: a.Move})
}

// handleHandOver takes the memory of a unit that is moving here.
func (d *ownerDuty) handleHandOver(ctx context.Context, m ownership.HandOver) (wire.Ack, error) {
	now := time.Now()
	d.suspects.merge(m.Quarantine, now)
	d.ids.with(func(memory *dedupe.Memory) { memory.Import(m.IDs, now) })
	return wire.Ack{}, d.handle(ctx, ownership.HandOverReceived{Unit: m.Unit, Move: m.Move})
}

func (d *ownerDuty) sendReleased(m ownership.Released) {
	state := d.state()
	address := state.Members[state.Planner].Address
	accepted := false
	if address != "" {
		callCtx, cancel := context.WithTimeout(d.life, handOverTimeout)
		defer cancel()
		reply, err := call[wire.ReleasedReply](callCtx, d.peers, address, wire.KindReleased, m)
		accepted = err == nil && reply.Accepted
	}
	_ = d.handle(d.life, ownership.ReleasedAnswered{Unit: m.Unit, Move: m.Move, Accepted: accepted})
}

// admit waits until the key's unit takes requests here and counts the request as in
// flight. The error has verdict NotRun.
func (d *ownerDuty) admit(ctx context.Context, service string, hash uint64, deadline time.Time) (ownership.Ticket, error) {
	for {
		decision, ticket, err := d.gate.Admit(service, hash, deadline, time.Now())
		if err != nil || decision == ownership.Serve {
			return ticket, err
		}
		if err := d.queue(ctx, service, hash, deadline); err != nil {
			return ownership.Ticket{}, err
		}
	}
}

// queue waits until the machine starts or rejects a request of a moving unit.
func (d *ownerDuty) queue(ctx context.Context, service string, hash uint64, deadline time.Time) error {
	begin := time.Now()
	defer func() { d.queuedFor(time.Since(begin)) }()
	id := d.queuedID.Add(1)
	wake := make(chan error, 1)
	d.mu.Lock()
	d.queued[id] = wake
	d.mu.Unlock()
	request := ownership.QueuedRequest{ID: id, Service: service, Hash: hash, Deadline: deadline}
	if err := d.handle(ctx, ownership.RequestQueued{Request: request}); err != nil {
		d.forget(id)
		return errNotQueued(ctx)
	}
	select {
	case err := <-wake:
		return err
	case <-d.life.Done():
		return ownership.ErrLeaseLost
	case <-ctx.Done():
		d.forget(id)
		d.box.post(func() { d.step(ownership.RequestCancelled{ID: id}, time.Now()) })
		return errNotQueued(ctx)
	}
}

// end ends an admitted request.
func (d *ownerDuty) end(ticket ownership.Ticket) {
	if d.gate.End(ticket) {
		// The machine also polls, so an event that finds the mailbox full only delays it.
		d.box.post(func() { d.step(ownership.RequestEnded{}, time.Now()) })
	}
}

func (d *ownerDuty) wake(id uint64, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if wake := d.queued[id]; wake != nil {
		delete(d.queued, id)
		wake <- err
	}
}

func (d *ownerDuty) forget(id uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.queued, id)
}

// errNotQueued says why a request that waited for its unit did not run.
func errNotQueued(ctx context.Context) error {
	if ctx.Err() != nil {
		return contextError(ctx, verdict.NotRun)
	}
	return ownership.ErrLeaseLost // the session ended
}
