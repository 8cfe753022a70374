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

// leaseWatchTick is how often requests on the backend server are checked for a lease
// that ended.
const leaseWatchTick = 20 * time.Millisecond

// sessionRuntime is everything that belongs to one session. After the session was
// fenced, the daemon goes on with a new one.
type sessionRuntime struct {
	session  cluster.Session
	life     context.Context
	end      context.CancelFunc
	daemon   *Daemon
	lease    *leaseDuty
	owner    *ownerDuty
	plan     *planDuty
	load     *loadDuty
	server   *localServer
	suspects *suspects
	inFlight *inFlight
	// wanted is the member entry that the cluster feed should have.
	wanted   atomic.Pointer[cluster.Member]
	draining atomic.Bool
	// started is set when the duties run; before that nobody takes their messages.
	started atomic.Bool
}

func newSessionRuntime(d *Daemon, known *suspects) *sessionRuntime {
	life, end := context.WithCancel(d.life)
	session := cluster.Session{Instance: d.config.Instance, Incarnation: rand.Uint64()}
	log := d.log.With(zap.Stringer("session", session))
	now := time.Now()
	s := &sessionRuntime{session: session, life: life, end: end, daemon: d, inFlight: newInFlight()}
	s.suspects = newSuspects(session, known.records(now), now)
	s.lease = newLeaseDuty(life, log, d.config.Lease, session, d.config.Table, d.pool, newRand())
	s.owner = newOwnerDuty(life, log, ownership.Config{Self: session}, d.pool, d.ids, s.suspects)
	s.plan = newPlanDuty(life, log, session, d.config.Table, d.pool, d.replicas, d.writer, d.config.Lease, newRand())
	s.load = newLoadDuty(life, session, d.pool, d.replicas.cluster)
	s.server = &localServer{
		session: session, owner: s.owner, lease: s.lease.clock, ids: d.ids, suspects: s.suspects,
		slots: d.slots, backend: d.backend.client, serves: d.backend.serves, inFlight: s.inFlight, load: s.load,
	}
	s.connect()
	return s
}

// connect ties the duties together.
func (s *sessionRuntime) connect() {
	d := s.daemon
	s.lease.state = d.replicas.cluster
	s.lease.reportExpired = s.reportExpired
	s.lease.takePlanner = s.plan.escalate
	s.lease.changed = func() {
		now := time.Now()
		until := s.lease.clock.until(now)
		s.owner.box.post(func() { s.owner.step(ownership.LeaseChanged{ValidUntil: until}, time.Now()) })
	}
	s.plan.notLost = s.lease.notLost
	s.plan.onPlan = func(took time.Duration, entries int) {
		d.metrics.planTime.Update(took.Seconds())
		d.metrics.moves.Add(entries)
	}
	s.owner.state = d.replicas.cluster
	s.owner.closeBackend = func() { s.inFlight.cancelAll(errBackendFrozen) }
	s.owner.askMove = s.askMove
	s.owner.queuedFor = func(wait time.Duration) { d.metrics.moveWait.Update(wait.Seconds()) }
	s.load.status = d.backend.loadStatus
	s.load.deliver = s.plan.observeLoad
}

// start runs the duties.
func (s *sessionRuntime) start() {
	for _, duty := range []func(){s.lease.run, s.owner.run, s.plan.run, s.load.run, s.watchLease, s.keepMember} {
		s.daemon.duties.Go(duty)
	}
	s.started.Store(true)
	s.backendChanged()
	s.clusterChanged(s.daemon.replicas.cluster())
}

// clusterChanged hands a new cluster state to the duties.
func (s *sessionRuntime) clusterChanged(state *cluster.State) {
	if !s.started.Load() {
		return
	}
	_ = s.owner.handle(s.life, ownership.StateApplied{State: state})
	self := s.member()
	if known, ok := state.Members[s.session]; ok {
		self.State = known.State
	}
	s.lease.setMembers(self, state)
	s.load.setUnits(state, self.Slots)
}

// backendChanged hands the state of the backend server to the duties.
func (s *sessionRuntime) backendChanged() {
	if !s.started.Load() {
		return
	}
	member := s.member()
	s.wanted.Store(&member)
	_ = s.owner.handle(s.life, ownership.BackendChanged{State: s.daemon.backend.ownershipState()})
	s.load.reportNow()
}

// backendCrashed gives strikes to the requests whose connections broke in a crash.
// later says that the crash was reported before.
func (s *sessionRuntime) backendCrashed(lost []quarantine.Fingerprint, later bool) {
	if records := s.suspects.crashed(lost, later, time.Now()); len(records) > 0 {
		s.daemon.spreadStrikes(records, "")
	}
}

// member returns this session's member entry as it should be now.
func (s *sessionRuntime) member() cluster.Member {
	m := cluster.Member{Session: s.session, Address: s.daemon.config.Address, Zone: s.daemon.config.Zone}
	m.Service, m.Slots, m.ChecksGrants = s.daemon.backend.announced()
	return m
}

// reportExpired sends a witness's report to the planner. If the planner itself is
// lost, this daemon takes its role without waiting for an answer.
func (s *sessionRuntime) reportExpired(e lease.Expired) {
	state := s.daemon.replicas.cluster()
	switch {
	case state.Planner == s.session:
		s.plan.box.post(func() { s.plan.observeExpired(e) })
	case state.Planner == e.Session || state.Planner.IsZero():
		time.AfterFunc(rand.N(s.daemon.config.Lease.RankDelay), func() { s.plan.escalate(e) })
	default:
		address := state.Members[state.Planner].Address
		go func() {
			ctx, cancel := context.WithTimeout(s.life, s.daemon.config.Lease.EscalateAfter)
			defer cancel()
			_, _ = call[wire.Ack](ctx, s.daemon.pool, address, wire.KindExpired, e)
		}()
	}
}

// askMove asks for this session's units to be moved away.
func (s *sessionRuntime) askMove(reason ownership.MoveReason) {
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
		case <-s.life.Done():
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
