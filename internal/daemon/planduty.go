package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/internal/wire"
	"github.com/basilway/basilway/lease"
	"github.com/basilway/basilway/metastore"
	"github.com/basilway/basilway/ownership"
	"github.com/basilway/basilway/planner"
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
	// takeRoleChance is the chance a tick of a member to become planner while there is
	// none, times the number of members.
	takeRoleChance = 0.5
)

// planDuty plans while this session is the planner, and takes lost sessions over.
type planDuty struct {
	log      *zap.Logger
	life     context.Context
	session  cluster.Session
	table    metastore.Table
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

func newPlanDuty(life context.Context, log *zap.Logger, session cluster.Session, table metastore.Table, peers transport, r *replicas, w *clusterWriter, leaseConfig lease.Config, rng *rand.Rand) *planDuty {
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
		err := d.writer.update(ctx, func(s *cluster.State) ([]cluster.Entry, metastore.Txn, error) {
			if _, ok := s.Members[d.session]; !ok || s.Planner != before {
				return nil, metastore.Txn{}, nil
			}
			return []cluster.Entry{{Kind: cluster.EntryPlannerSet, Session: d.session}}, metastore.Txn{}, nil
		})
		if err != nil {
			d.log.Debug("planner role not taken", zap.Error(err))
		}
		_ = d.box.do(d.life, func() { d.busy = false })
	}()
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
