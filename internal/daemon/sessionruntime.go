package daemon

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/internal/wire"
	"github.com/basilway/basilway/lease"
	"github.com/basilway/basilway/ownership"
	"github.com/basilway/basilway/quarantine"
)

// leaseWatchTick is how often the lease is checked while requests are on the backend
// server, and how often waitIdle looks for requests.
const leaseWatchTick = 20 * time.Millisecond

// sessionRuntime holds the workers and the state of one session. After a session is
// fenced, the daemon starts a new one.
type sessionRuntime struct {
	session    cluster.Session
	baseCtx    context.Context
	cancel     context.CancelFunc
	daemon     *Daemon
	lease      *leaseWorker
	owner      *ownerWorker
	plan       *planWorker
	load       *loadReporter
	server     *localServer
	quarantine *sharedQuarantine
	inFlight   *inFlight
	// wanted is the member entry that the cluster feed should have.
	wanted   atomic.Pointer[cluster.Member]
	draining atomic.Bool
	// started is set when the workers run; before that, nothing reads their mailboxes.
	started atomic.Bool
}

func newSessionRuntime(d *Daemon, known *sharedQuarantine) *sessionRuntime {
	ctx, cancel := context.WithCancel(d.baseCtx)
	session := cluster.Session{Instance: d.config.Instance, Incarnation: rand.Uint64()}
	log := d.log.With(zap.Stringer("session", session))
	now := time.Now()
	s := &sessionRuntime{session: session, baseCtx: ctx, cancel: cancel, daemon: d, inFlight: newInFlight()}
	s.quarantine = newSharedQuarantine(session, known.records(now), now)
	s.lease = newLeaseWorker(ctx, log, d.config.Lease, session, d.config.Table, d.pool, newRand())
	s.owner = newOwnerWorker(ctx, log, ownership.Config{Self: session}, d.pool, d.ids, s.quarantine)
	s.plan = newPlanWorker(ctx, log, session, d.config.Table, d.pool, d.replicas, d.writer, d.config.Lease, newRand())
	s.load = newLoadReporter(ctx, session, d.pool, d.replicas.cluster)
	s.server = &localServer{
		session: session, owner: s.owner, lease: s.lease.clock, ids: d.ids, quarantine: s.quarantine,
		slots: d.slots, backend: d.backend.client, serves: d.backend.serves, inFlight: s.inFlight, load: s.load,
	}
	s.setCallbacks()
	return s
}

// setCallbacks connects the workers with each other and with the daemon.
func (s *sessionRuntime) setCallbacks() {
	d := s.daemon
	s.lease.state = d.replicas.cluster
	s.lease.reportExpired = s.reportExpired
	s.lease.takePlanner = s.plan.escalate
	s.lease.onLeaseChange = func() {
		now := time.Now()
		until := s.lease.clock.until(now)
		s.owner.mailbox.post(func() { s.owner.step(ownership.LeaseChanged{ValidUntil: until}, time.Now()) })
	}
	s.plan.notLost = s.lease.notLost
	s.plan.onPlan = func(took time.Duration, entries int) {
		d.metrics.planTime.Update(took.Seconds())
		d.metrics.planEntries.Add(entries)
	}
	s.owner.state = d.replicas.cluster
	s.owner.closeBackend = func() { s.inFlight.cancelAll(errBackendFrozen) }
	s.owner.requestMove = s.requestMove
	s.owner.observeMoveWait = func(wait time.Duration) { d.metrics.moveWait.Update(wait.Seconds()) }
	s.load.status = d.backend.loadStatus
	s.load.deliver = s.plan.observeLoad
}

// start starts the workers.
func (s *sessionRuntime) start() {
	for _, run := range []func(){s.lease.run, s.owner.run, s.plan.run, s.load.run, s.watchLease, s.maintainMember} {
		s.daemon.workers.Go(run)
	}
	s.started.Store(true)
	s.backendChanged()
	s.clusterChanged(s.daemon.replicas.cluster())
}

// clusterChanged passes a new cluster state to the workers.
func (s *sessionRuntime) clusterChanged(state *cluster.State) {
	if !s.started.Load() {
		return
	}
	_ = s.owner.handle(s.baseCtx, ownership.StateApplied{State: state})
	self := s.member()
	if known, ok := state.Members[s.session]; ok {
		self.State = known.State
	}
	s.lease.setMembers(self, state)
	s.load.setUnits(state, self.Slots)
}

// backendChanged passes the state of the backend server to the workers.
func (s *sessionRuntime) backendChanged() {
	if !s.started.Load() {
		return
	}
	member := s.member()
	s.wanted.Store(&member)
	_ = s.owner.handle(s.baseCtx, ownership.BackendChanged{State: s.daemon.backend.ownershipState()})
	s.load.reportNow()
}

// backendCrashed gives strikes to the requests whose connections broke in a crash.
// alreadyReported means that the crash itself was reported before.
func (s *sessionRuntime) backendCrashed(lost []quarantine.Fingerprint, alreadyReported bool) {
	if records := s.quarantine.recordCrash(lost, alreadyReported, time.Now()); len(records) > 0 {
		s.daemon.gossipStrikes(records, "")
	}
}

// member returns this session's current member entry.
func (s *sessionRuntime) member() cluster.Member {
	m := cluster.Member{Session: s.session, Address: s.daemon.config.Address, Zone: s.daemon.config.Zone}
	m.Service, m.Slots, m.ChecksGrants = s.daemon.backend.announced()
	return m
}

// reportExpired sends a witness's report to the planner. If the planner itself is lost or
// there is none, this session becomes planner after a random delay instead.
func (s *sessionRuntime) reportExpired(e lease.Expired) {
	state := s.daemon.replicas.cluster()
	switch {
	case state.Planner == s.session:
		s.plan.mailbox.post(func() { s.plan.observeExpired(e) })
	case state.Planner == e.Session || state.Planner.IsZero():
		time.AfterFunc(rand.N(s.daemon.config.Lease.RankDelay), func() { s.plan.escalate(e) })
	default:
		address := state.Members[state.Planner].Address
		go func() {
			ctx, cancel := context.WithTimeout(s.baseCtx, s.daemon.config.Lease.EscalateAfter)
			defer cancel()
			_, _ = call[wire.Ack](ctx, s.daemon.pool, address, wire.KindExpired, e)
		}()
	}
}

// requestMove reports at once that the backend server does not accept requests, so that
// units move away. In a drain, the member entry tells the planner to move them.
func (s *sessionRuntime) requestMove(reason ownership.MoveReason) {
	if reason == ownership.MoveForBackend {
		s.load.reportNow()
	}
}

// watchLease cancels the requests on the backend server when the lease ends, because
// their keys may get another owner from then on.
func (s *sessionRuntime) watchLease() {
	ticker := time.NewTicker(leaseWatchTick)
	defer ticker.Stop()
	for {
		select {
		case <-s.baseCtx.Done():
			return
		case now := <-ticker.C:
			if s.inFlight.len() == 0 || s.lease.clock.valid(now) {
				continue
			}
			n := s.inFlight.cancelAll(errLeaseEnded)
			s.daemon.log.Warn("lease ended with requests in flight", zap.Int("requests", n))
		}
	}
}
