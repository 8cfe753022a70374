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
	// planTick is how often takeovers are ticked and pending fences and releases are
	// committed. Losses and moves that end within one tick share a transaction.
	planTick = 50 * time.Millisecond
	// releaseDelay is how long the first release of a batch waits for others. It is short
	// because the requests of its unit wait meanwhile.
	releaseDelay = 5 * time.Millisecond
	// planInterval is the time between plans if no session is lost.
	planInterval = time.Second
	// planCommitTimeout bounds one commit of the planner.
	planCommitTimeout = 3 * time.Second
	// plannerAttemptsPerTick is the mean number of members that try to become planner in
	// a tick while there is none.
	plannerAttemptsPerTick = 0.5
)

// planWorker runs takeovers of lost sessions and, while this session is the planner,
// commits fences, ends of moves and plans.
type planWorker struct {
	log      *zap.Logger
	baseCtx  context.Context
	session  cluster.Session
	table    metastore.Table
	peers    transport
	replicas *replicas
	writer   *clusterWriter
	lease    lease.Config
	config   planner.Config
	mailbox  *mailbox
	rng      *rand.Rand
	// notLost tells this session's own witness that a session that it reported is alive.
	notLost func(cluster.Session, uint64)
	// onPlan is called with the duration of each plan and the number of its entries.
	onPlan func(time.Duration, int)

	// The fields below are used only in the mailbox's goroutine.
	loadInterval time.Duration
	load         *planner.LoadModel
	watch        *lease.RenewalWatch
	watchedAt    time.Time
	// peersOnly holds the sessions whose session row names only peers as witnesses.
	peersOnly map[cluster.Session]bool
	// aliveUntil is the time until which a stale renewal row of a live session is
	// ignored.
	aliveUntil map[cluster.Session]time.Time
	takeovers  map[cluster.Session]*takeover
	released   map[cluster.Unit]ownership.Released
	plannedAt  time.Time
	// committing is set while a commit runs in its own goroutine.
	committing bool
	// urgent is set when a commit must not wait until a plan is due.
	urgent bool
}

// takeover is the takeover of a session that may be lost.
type takeover struct {
	machine *lease.Takeover
	// fence is set while a fence waits to be committed.
	fence *lease.CommitFence
	// reporter is the witness that reported the session; zero if none did.
	reporter cluster.Session
}

func newPlanWorker(ctx context.Context, log *zap.Logger, session cluster.Session, table metastore.Table, peers transport, r *replicas, w *clusterWriter, leaseConfig lease.Config, rng *rand.Rand) *planWorker {
	return &planWorker{
		baseCtx: ctx, log: log, session: session, table: table, peers: peers, replicas: r, writer: w,
		lease: leaseConfig, config: planner.DefaultConfig(), mailbox: newMailbox(planMailboxSize), rng: rng,
		notLost: func(cluster.Session, uint64) {}, onPlan: func(time.Duration, int) {},
		load:       planner.NewLoadModel(planner.DefaultLoadConfig(1)),
		watch:      lease.NewRenewalWatch(),
		peersOnly:  map[cluster.Session]bool{},
		aliveUntil: map[cluster.Session]time.Time{},
		takeovers:  map[cluster.Session]*takeover{}, released: map[cluster.Unit]ownership.Released{},
	}
}

// run ticks until the session ends.
func (w *planWorker) run() {
	go w.mailbox.run(w.baseCtx)
	ticker := time.NewTicker(planTick)
	defer ticker.Stop()
	for {
		select {
		case <-w.baseCtx.Done():
			return
		case now := <-ticker.C:
			_ = w.mailbox.do(w.baseCtx, func() { w.tick(now) })
		}
	}
}

// tick runs in the mailbox's goroutine.
func (w *planWorker) tick(now time.Time) {
	state := w.replicas.cluster()
	if _, ok := state.Members[w.session]; !ok {
		return
	}
	for session, t := range w.takeovers {
		if _, ok := state.Members[session]; !ok {
			w.forget(session)
			continue
		}
		w.performTakeover(session, t, t.machine.Handle(now, lease.Tick{}))
	}
	w.watchStoreWitnesses(state, now)
	if state.Planner.IsZero() && w.rng.Float64()*float64(len(state.Members)) < plannerAttemptsPerTick {
		w.becomePlanner()
	}
	w.commitIfDue(state, now)
}

// becomePlanner makes this session the planner, unless the planner changes meanwhile.
func (w *planWorker) becomePlanner() {
	if w.committing {
		return
	}
	w.committing = true
	go func() {
		ctx, cancel := context.WithTimeout(w.baseCtx, planCommitTimeout)
		defer cancel()
		before := w.replicas.cluster().Planner
		err := w.writer.update(ctx, func(s *cluster.State) ([]cluster.Entry, metastore.Txn, error) {
			if _, ok := s.Members[w.session]; !ok || s.Planner != before {
				return nil, metastore.Txn{}, nil
			}
			return []cluster.Entry{{Kind: cluster.EntryPlannerSet, Session: w.session}}, metastore.Txn{}, nil
		})
		if err != nil {
			w.log.Debug("cannot become planner", zap.Error(err))
		}
		_ = w.mailbox.do(w.baseCtx, func() { w.committing = false })
	}()
}

// handleReleased records that an owner has stopped serving a moving unit.
func (w *planWorker) handleReleased(ctx context.Context, m ownership.Released) (wire.ReleasedReply, error) {
	var accepted bool
	err := w.mailbox.do(ctx, func() {
		state := w.replicas.cluster()
		if accepted = state.Planner == w.session && releaseMatchesMove(state, m); accepted {
			if !w.urgent {
				time.AfterFunc(releaseDelay, func() {
					w.mailbox.post(func() { w.commitIfDue(w.replicas.cluster(), time.Now()) })
				})
			}
			w.released[m.Unit] = m
			w.urgent = true
		}
	})
	if err != nil {
		return wire.ReleasedReply{}, err
	}
	return wire.ReleasedReply{Accepted: accepted}, nil
}

// releaseMatchesMove reports whether a release is for the move in progress of its unit.
// The move's version distinguishes it from a release for an earlier, cancelled move.
func releaseMatchesMove(state *cluster.State, m ownership.Released) bool {
	o, ok := state.Get(m.Unit)
	return ok && o.Owner == m.From && o.MovingTo == m.To && o.MoveVersion == m.Move
}

// observeLoad adds load reports to the load model.
func (w *planWorker) observeLoad(m wire.LoadReports) {
	w.mailbox.post(func() {
		now := time.Now()
		w.load.Sync(w.replicas.cluster(), now)
		for _, r := range m.Reports {
			wasDown := w.load.Down(r.Session)
			w.load.Observe(r.Session, r.Report, now)
			if r.Report.Down && !wasDown {
				w.urgent = true // its units cannot be served until they move
				w.plannedAt = time.Time{}
			}
		}
	})
}

// commitIfDue commits pending fences and releases, and a plan if planInterval has passed
// or a session is fenced.
func (w *planWorker) commitIfDue(state *cluster.State, now time.Time) {
	if w.committing || state.Planner != w.session {
		return
	}
	fences := w.takeReadyFences()
	due := now.Sub(w.plannedAt) >= planInterval
	if len(fences) == 0 && !w.urgent && !due {
		return
	}
	w.urgent = false
	w.updateLoadModel(len(state.Members))
	if due || len(fences) > 0 {
		w.plannedAt = now
	}
	w.committing = true
	batch := planBatch{worker: w, fences: fences, plan: due || len(fences) > 0}
	for _, m := range w.released {
		batch.released = append(batch.released, m)
	}
	clear(w.released)
	go batch.commit()
}

// updateLoadModel replaces the load model if the report interval, which depends on the
// number of members, has changed much. The next reports fill the new model.
func (w *planWorker) updateLoadModel(members int) {
	interval := planner.ReportInterval(members)
	if intervalChanged(interval, w.loadInterval) {
		w.loadInterval = interval
		w.load = planner.NewLoadModel(planner.DefaultLoadConfig(members))
	}
}
