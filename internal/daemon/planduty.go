package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/internal/wire"
	"github.com/basilway/basilway/lease"
	"github.com/basilway/basilway/ownership"
	"github.com/basilway/basilway/planner"
	"github.com/basilway/basilway/platform"
)

const (
	planMailboxSize = 4096
	// planTick is how often takeovers step and fences and releases are committed.
	// Losses and moves that end within one tick share a transaction.
	planTick = 50 * time.Millisecond
	// releaseDelay is how long the first release of a batch waits for others, because the
	// requests of its unit wait meanwhile.
	releaseDelay = 5 * time.Millisecond
	// planInterval is the time between plans without a loss.
	planInterval = time.Second
	// planCommitTimeout bounds one commit of the planner.
	planCommitTimeout = 3 * time.Second
	// floorMargin is the bound on how far ahead an id may be stamped (200 ms) plus the
	// bound on the clock difference of daemons (200 ms).
	floorMargin = 400 * time.Millisecond
	// takeRoleChance is the chance a tick of a member to become planner while there is
	// none, times the number of members.
	takeRoleChance = 0.5
)

// planDuty plans while this session is the planner, and takes lost sessions over.
type planDuty struct {
	log      *zap.Logger
	life     context.Context
	session  cluster.Session
	table    platform.Table
	peers    transport
	replicas *replicas
	writer   *clusterWriter
	lease    lease.Config
	config   planner.Config
	box      *mailbox
	rng      *rand.Rand
	// notLost settles this daemon's own witness reports.
	notLost func(cluster.Session, uint64)
	// onPlan is called with the duration of each plan.
	onPlan func(time.Duration, int)

	// The fields below are used only in the mailbox's goroutine.
	loadInterval time.Duration
	load         *planner.LoadModel
	watch        *lease.RenewalWatch
	watchedAt    time.Time
	// peersOnly holds the sessions whose row was seen to name no store as witness.
	peersOnly map[cluster.Session]bool
	// aliveUntil is until when a stale renewal row of a live session is ignored.
	aliveUntil map[cluster.Session]time.Time
	takeovers  map[cluster.Session]*takeover
	released   map[cluster.Unit]ownership.Released
	plannedAt  time.Time
	busy       bool
	urgent     bool
}

// takeover is a lost session with its fence, once that may be committed.
type takeover struct {
	machine  *lease.Takeover
	fence    *lease.CommitFence
	reporter cluster.Session
}

func newPlanDuty(life context.Context, log *zap.Logger, session cluster.Session, table platform.Table, peers transport, r *replicas, w *clusterWriter, leaseConfig lease.Config, rng *rand.Rand) *planDuty {
	return &planDuty{
		life: life, log: log, session: session, table: table, peers: peers, replicas: r, writer: w,
		lease: leaseConfig, config: planner.DefaultConfig(), box: newMailbox(planMailboxSize), rng: rng,
		notLost: func(cluster.Session, uint64) {}, onPlan: func(time.Duration, int) {},
		load:       planner.NewLoadModel(planner.DefaultLoadConfig(1)),
		watch:      lease.NewRenewalWatch(),
		peersOnly:  map[cluster.Session]bool{},
		aliveUntil: map[cluster.Session]time.Time{},
		takeovers:  map[cluster.Session]*takeover{}, released: map[cluster.Unit]ownership.Released{},
	}
}

// run ticks until the duty's life ends.
func (d *planDuty) run() {
	go d.box.run(d.life)
	ticker := time.NewTicker(planTick)
	defer ticker.Stop()
	for {
		select {
		case <-d.life.Done():
			return
		case now := <-ticker.C:
			_ = d.box.do(d.life, func() { d.tick(now) })
		}
	}
}

// tick runs in the mailbox's goroutine.
func (d *planDuty) tick(now time.Time) {
	state := d.replicas.cluster()
	if _, ok := state.Members[d.session]; !ok {
		return
	}
	for session, t := range d.takeovers {
		if _, ok := state.Members[session]; !ok {
			d.forget(session)
			continue
		}
		d.performTakeover(session, t, t.machine.Handle(now, lease.Tick{}))
	}
	d.watchStoreWitnesses(state, now)
	if state.Planner.IsZero() && d.rng.Float64()*float64(len(state.Members)) < takeRoleChance {
		d.takeRole()
	}
	d.commitIfDue(state, now)
}

func (d *planDuty) forget(session cluster.Session) {
	delete(d.takeovers, session)
	delete(d.aliveUntil, session)
	d.watch.Forget(session)
}

// takeRole makes this session the planner.
func (d *planDuty) takeRole() {
	if d.busy {
		return
	}
	d.busy = true
	go func() {
		ctx, cancel := context.WithTimeout(d.life, planCommitTimeout)
		defer cancel()
		before := d.replicas.cluster().Planner
		err := d.writer.update(ctx, func(s *cluster.State) ([]cluster.Entry, platform.Txn, error) {
			if _, ok := s.Members[d.session]; !ok || s.Planner != before {
				return nil, platform.Txn{}, nil
			}
			return []cluster.Entry{{Kind: cluster.EntryPlannerSet, Session: d.session}}, platform.Txn{}, nil
		})
		if err != nil {
			d.log.Debug("planner role not taken", zap.Error(err))
		}
		_ = d.box.do(d.life, func() { d.busy = false })
	}()
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

// handleReleased takes an owner's word that it serves a unit no more.
func (d *planDuty) handleReleased(ctx context.Context, m ownership.Released) (wire.ReleasedReply, error) {
	var accepted bool
	err := d.box.do(ctx, func() {
		state := d.replicas.cluster()
		if accepted = state.Planner == d.session && releaseHolds(state, m); accepted {
			if !d.urgent {
				time.AfterFunc(releaseDelay, func() {
					d.box.post(func() { d.commitIfDue(d.replicas.cluster(), time.Now()) })
				})
			}
			d.released[m.Unit] = m
			d.urgent = true
		}
	})
	if err != nil {
		return wire.ReleasedReply{}, err
	}
	return wire.ReleasedReply{Accepted: accepted}, nil
}

// releaseHolds reports whether a release is for the open move of its unit. The move's
// version tells it from a release before a move that was cancelled.
func releaseHolds(state *cluster.State, m ownership.Released) bool {
	o, ok := state.Get(m.Unit)
	return ok && o.Owner == m.From && o.MovingTo == m.To && o.MoveVersion == m.Move
}

// observeLoad takes load reports.
func (d *planDuty) observeLoad(m wire.LoadReports) {
	d.box.post(func() {
		now := time.Now()
		d.load.Sync(d.replicas.cluster(), now)
		for _, r := range m.Reports {
			wasDown := d.load.Down(r.Session)
			d.load.Observe(r.Session, r.Report, now)
			if r.Report.Down && !wasDown {
				d.urgent = true // its units cannot be served until they move
				d.plannedAt = time.Time{}
			}
		}
	})
}

// commitIfDue commits fences, releases and, at its interval, a plan.
func (d *planDuty) commitIfDue(state *cluster.State, now time.Time) {
	if d.busy || state.Planner != d.session {
		return
	}
	fences := d.readyFences()
	due := now.Sub(d.plannedAt) >= planInterval
	if len(fences) == 0 && !d.urgent && !due {
		return
	}
	d.urgent = false
	d.fitLoadModel(len(state.Members))
	if due || len(fences) > 0 {
		d.plannedAt = now
	}
	d.busy = true
	batch := planBatch{duty: d, fences: fences, plan: due || len(fences) > 0}
	for _, m := range d.released {
		batch.released = append(batch.released, m)
	}
	clear(d.released)
	go batch.commit()
}

// fitLoadModel replaces the load model when the interval of reports has changed much
// with the size of the cluster. The next reports fill it.
func (d *planDuty) fitLoadModel(members int) {
	interval := planner.ReportInterval(members)
	if intervalChanged(interval, d.loadInterval) {
		d.loadInterval = interval
		d.load = planner.NewLoadModel(planner.DefaultLoadConfig(members))
	}
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
