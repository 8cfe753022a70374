// Package ownership decides which requests a daemon serves, and hands units over to
// other daemons. A session serves a unit only while it owns the unit at the applied
// cluster version, has not released it, knows the request ids that an earlier owner ran
// or rejects them by a floor, and holds a valid lease. The package has no clock and no
// I/O; the caller passes the time in.
package ownership

import (
	"time"

	"github.com/basilway/basilway/cluster"
)

// drainPoll is the interval at which the requests in flight on a moving unit are
// counted again. Polling is needed because a request that Admit counts and uncounts
// causes no RequestEnded.
const drainPoll = 50 * time.Millisecond

// Machine is the state machine of a daemon's units. One goroutine calls Handle; all
// others use the Gate.
type Machine struct {
	config Config
	gate   *Gate
	state  *cluster.State
	units  map[cluster.Unit]*unit
	order  []*unit // units in a fixed order, for reproducible actions
	// earlyHandovers holds, by unit, the MoveVersion of the move whose handover arrived
	// before this session became the owner.
	earlyHandovers map[cluster.Unit]uint64
	queue          queue
	backend        BackendState
	// lastSetUnits holds the last SetUnits of each service.
	lastSetUnits map[string]SetUnits

	joined, removed, draining, drainedReported bool
	backendClosed                              bool
	nextRequestMove                            time.Time

	actions   []Action
	mutations mutations
}

// mutations switches off single rules. Tests set them to show that they detect the
// missing rule.
type mutations struct{ serveReleased, trustMissingHandover, ignoreFloor, keepOverdue bool }

// New returns a machine that owns nothing and has no lease and no backend server.
func New(config Config, now time.Time) *Machine {
	m := &Machine{
		config:         config.withDefaults(),
		gate:           &Gate{self: config.Self, base: now},
		state:          cluster.NewState(),
		units:          map[cluster.Unit]*unit{},
		earlyHandovers: map[cluster.Unit]uint64{},
		lastSetUnits:   map[string]SetUnits{},
	}
	m.gate.setLease(time.Time{})
	m.publish()
	return m
}

// Gate returns the gate that admits requests to the machine's units.
func (m *Machine) Gate() *Gate { return m.gate }

// Handle applies an event and returns the actions for the caller, in order.
func (m *Machine) Handle(e Event, now time.Time) []Action {
	m.actions = nil
	switch e := e.(type) {
	case StateApplied:
		if e.State.Version > m.state.Version {
			m.applyState(e.State, now)
		}
	case LeaseChanged:
		m.gate.setLease(e.ValidUntil)
	case RequestQueued:
		m.enqueue(e.Request)
	case RequestCancelled:
		m.queue.remove(e.ID)
	case HandoverReceived:
		m.handoverReceived(e, now)
	case HandoverAcked:
		if u := m.units[e.Unit]; u != nil && u.phase == handingOver && u.move == e.Move {
			u.enter(released, now)
		}
	case ReleasedAnswered:
		m.releasedAnswered(e, now)
	case BackendChanged:
		m.backend, m.backendClosed, m.nextRequestMove = e.State, false, now
	case DrainRequested:
		m.draining, m.nextRequestMove = true, now
	}
	// The snapshot that admits no more requests to a unit must be published before
	// advance reads the unit's count; see Gate.
	m.publish()
	m.advance(now)
	m.publish()
	m.drainQueue(now)
	m.reportDrained()
	return m.actions
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) publish() {
	s := &snapshot{state: m.state, backend: m.backend, units: make(map[cluster.Unit]*unitView, len(m.units))}
	old := m.gate.snapshot.Load()
	same := old != nil && old.state == s.state && old.backend == s.backend && len(old.units) == len(m.units)
	for id, u := range m.units {
		v := u.view(m.mutations)
		s.units[id] = v
		if same {
			o := old.units[id]
			same = o != nil && o.mustQueue == v.mustQueue && o.epoch == v.epoch && o.floorMS == v.floorMS &&
				o.counters[0] == v.counters[0]
		}
	}
	if !same {
		m.gate.snapshot.Store(s)
	}
}

func (m *Machine) handoverReceived(e HandoverReceived, now time.Time) {
	u := m.units[e.Unit]
	if u != nil && u.phase == awaitingHandover && u.move == e.Move {
		u.enter(serving, now)
		return
	}
	_, known := m.earlyHandovers[e.Unit]
	if e.Move > m.earlyHandovers[e.Unit] && (known || len(m.earlyHandovers) < maxEarlyHandovers) {
		m.earlyHandovers[e.Unit] = e.Move
	}
}

func (m *Machine) releasedAnswered(e ReleasedAnswered, now time.Time) {
	u := m.units[e.Unit]
	if u == nil || u.phase != released || u.move != e.Move {
		return
	}
	if e.Accepted {
		u.nextAt = now.Add(4 * m.config.ReleasedRetry)
	} else {
		// Retry soon, since the planner may have changed; a quarter of the interval limits
		// the rate.
		u.nextAt = now.Add(m.config.ReleasedRetry / 4)
	}
}

// advance takes the steps that are due.
func (m *Machine) advance(now time.Time) {
	for _, u := range m.order {
		u.compact()
		switch u.phase {
		case awaitingHandover:
			if !now.Before(u.phaseSince.Add(m.config.HandoverWait)) || m.mutations.trustMissingHandover {
				m.serveWithFloor(u, now)
			}
		case draining:
			if u.inFlight() == 0 {
				u.enter(handingOver, now)
				m.emitHandover(u, now)
			} else {
				u.nextAt = now.Add(drainPoll)
			}
		case handingOver:
			if !now.Before(u.phaseSince.Add(m.config.HandoverTimeout)) {
				u.enter(released, now)
			} else if !now.Before(u.nextAt) {
				m.emitHandover(u, now)
			}
		}
		if u.phase == released && !now.Before(u.nextAt) {
			m.emit(SendReleased{Released{Unit: u.id, From: m.config.Self, To: u.to, Move: u.move}})
			u.nextAt = now.Add(m.config.ReleasedRetry)
		}
	}
	m.closeFrozen(now)
	m.requestMove(now)
}

func (m *Machine) emitHandover(u *unit, now time.Time) {
	m.emit(SendHandover{To: u.to, Unit: u.id, Span: u.span, Move: u.move, FloorMS: u.floorMS})
	u.nextAt = now.Add(m.config.HandoverRetry)
}

// serveWithFloor serves a unit without the memory of its earlier owner. The timestamps
// of all ids that the earlier owner ran are at most FloorMargin after the time at which
// this session acquired the unit.
func (m *Machine) serveWithFloor(u *unit, now time.Time) {
	if !m.mutations.trustMissingHandover {
		u.floorMS = max(u.floorMS, u.acquiredAt.Add(m.config.FloorMargin).UnixMilli())
		m.emit(RaiseFloor{Span: u.span, FloorMS: u.floorMS})
	}
	u.enter(serving, now)
}

// closeFrozen emits CloseBackend for a frozen backend server once no request is in
// flight or the deadlines of all those in flight have passed. For the latter it waits
// for the latest deadline of any request admitted so far.
func (m *Machine) closeFrozen(now time.Time) {
	if m.backend != BackendFrozen || m.backendClosed {
		return
	}
	if m.inFlight() == 0 || int64(now.Sub(m.gate.base)) >= m.gate.lastDeadline.Load() {
		m.backendClosed = true
		m.emit(CloseBackend{})
	}
}

func (m *Machine) inFlight() int64 {
	var n int64
	for _, u := range m.order {
		n += u.inFlight() // two units may share an inherited counter; only 0 matters
	}
	return n
}

func (m *Machine) requestMove(now time.Time) {
	if m.backend == BackendUp && !m.draining || now.Before(m.nextRequestMove) {
		return
	}
	var units []cluster.Unit
	for _, u := range m.order {
		if u.phase == awaitingHandover || u.phase == serving {
			units = append(units, u.id)
		}
	}
	if len(units) == 0 {
		return
	}
	reason := MoveForDrain
	if m.backend != BackendUp {
		reason = MoveForBackend
	}
	m.emit(RequestMove{Units: units, Reason: reason})
	m.nextRequestMove = now.Add(m.config.RequestMoveRetry)
}

// reportDrained emits Drained at the end of a drain.
func (m *Machine) reportDrained() {
	if m.draining && !m.drainedReported && len(m.units) == 0 && len(m.queue.requests) == 0 {
		m.drainedReported = true
		m.emit(Drained{})
	}
}

// NextTick returns when the next Tick is due; zero if no Tick is needed before the next
// event.
func (m *Machine) NextTick() time.Time {
	var next time.Time
	due := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	requesting := m.backend != BackendUp || m.draining
	for _, u := range m.order {
		switch u.phase {
		case awaitingHandover:
			due(u.phaseSince.Add(m.config.HandoverWait))
		case draining, handingOver, released:
			due(u.nextAt)
		}
		if requesting && u.phase <= serving {
			due(m.nextRequestMove)
		}
	}
	for _, r := range m.queue.requests {
		due(r.Deadline)
	}
	if m.backend == BackendFrozen && !m.backendClosed {
		due(m.gate.base.Add(time.Duration(m.gate.lastDeadline.Load())))
	}
	return next
}
