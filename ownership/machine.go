// Package ownership decides which requests a daemon serves and hands units over. A
// unit is served only while this session owns it at the applied cluster version, has
// not released it, knows or excludes the request ids that an earlier owner ran, and
// holds a valid lease. The package is pure: the time is passed in.
package ownership

import (
	"time"

	"github.com/basilway/basilway/cluster"
)

// drainPoll is the interval at which the requests in flight on a moving unit are
// counted again. A request that Admit counts and takes back causes no RequestEnded.
const drainPoll = 50 * time.Millisecond

// Machine is the state machine of a daemon's units. One goroutine calls Handle; the
// Gate serves all others.
type Machine struct {
	config   Config
	gate     *Gate
	state    *cluster.State
	units    map[cluster.Unit]*unit
	order    []*unit // the units in a fixed order, so that actions are reproducible
	received map[cluster.Unit]uint64
	queue    queue
	backend  BackendState
	// announced holds the last SetUnits of each service.
	announced map[string]SetUnits

	joined, removed, draining, closed bool
	backendClosed                     bool
	nextAsk                           time.Time

	actions []Action
	breaks  breaks
}

// breaks are faults that tests switch on to prove that they are detected.
type breaks struct{ serveReleased, trustMissing, ignoreFloor, keepOverdue bool }

// New returns a machine that owns nothing and has no lease and no backend server.
func New(config Config, now time.Time) *Machine {
	m := &Machine{
		config:    config.withDefaults(),
		gate:      &Gate{self: config.Self, base: now},
		state:     cluster.NewState(),
		units:     map[cluster.Unit]*unit{},
		received:  map[cluster.Unit]uint64{},
		announced: map[string]SetUnits{},
	}
	m.gate.setLease(time.Time{})
	m.publish()
	return m
}

// Gate returns the part of the machine that requests use.
func (m *Machine) Gate() *Gate { return m.gate }

// Handle takes an event and returns what to do, in order.
func (m *Machine) Handle(e Event, now time.Time) []Action {
	m.actions = nil
	switch e := e.(type) {
	case StateApplied:
		if e.State.Version > m.state.Version {
			m.follow(e.State, now)
		}
	case LeaseChanged:
		m.gate.setLease(e.ValidUntil)
	case RequestQueued:
		m.enqueue(e.Request)
	case RequestCancelled:
		m.queue.remove(e.ID)
	case HandOverReceived:
		m.handOverReceived(e, now)
	case HandOverAcked:
		if u := m.units[e.Unit]; u != nil && u.phase == handingOver && u.move == e.Move {
			u.enter(released, now)
		}
	case ReleasedAnswered:
		m.releasedAnswered(e, now)
	case BackendChanged:
		m.backend, m.backendClosed, m.nextAsk = e.State, false, now
	case DrainAsked:
		m.draining, m.nextAsk = true, now
	}
	// Requests that the new snapshot stops have to be stopped before their counts are
	// read; see Gate.
	m.publish()
	m.advance(now)
	m.publish()
	m.drainQueue(now)
	m.finish()
	return m.actions
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) publish() {
	s := &snapshot{state: m.state, backend: m.backend, units: make(map[cluster.Unit]*view, len(m.units))}
	old := m.gate.snapshot.Load()
	same := old != nil && old.state == s.state && old.backend == s.backend && len(old.units) == len(m.units)
	for id, u := range m.units {
		v := u.view(m.breaks)
		s.units[id] = v
		if same {
			o := old.units[id]
			same = o != nil && o.queue == v.queue && o.epoch == v.epoch && o.floorMS == v.floorMS &&
				o.counters[0] == v.counters[0]
		}
	}
	if !same {
		m.gate.snapshot.Store(s)
	}
}

func (m *Machine) handOverReceived(e HandOverReceived, now time.Time) {
	u := m.units[e.Unit]
	if u != nil && u.phase == awaiting && u.move == e.Move {
		u.enter(serving, now)
		return
	}
	_, known := m.received[e.Unit]
	if e.Move > m.received[e.Unit] && (known || len(m.received) < maxReceived) {
		m.received[e.Unit] = e.Move
	}
}

func (m *Machine) releasedAnswered(e ReleasedAnswered, now time.Time) {
	u := m.units[e.Unit]
	if u == nil || u.phase != released || u.move != e.Move {
		return
	}
	if e.Accepted {
		u.next = now.Add(4 * m.config.ReleasedRetry)
	} else {
		// The planner may have changed; a quarter of the interval bounds the rate.
		u.next = now.Add(m.config.ReleasedRetry / 4)
	}
}

// advance takes the steps that are due.
func (m *Machine) advance(now time.Time) {
	for _, u := range m.order {
		u.compact()
		switch u.phase {
		case awaiting:
			if !now.Before(u.since.Add(m.config.HandOverWait)) || m.breaks.trustMissing {
				m.serveWithFloor(u, now)
			}
		case draining:
			if u.inFlight() == 0 {
				u.enter(handingOver, now)
				m.handOver(u, now)
			} else {
				u.next = now.Add(drainPoll)
			}
		case handingOver:
			if !now.Before(u.since.Add(m.config.HandOverTimeout)) {
				u.enter(released, now)
			} else if !now.Before(u.next) {
				m.handOver(u, now)
			}
		}
		if u.phase == released && !now.Before(u.next) {
			m.emit(SendReleased{Released{Unit: u.id, From: m.config.Self, To: u.to, Move: u.move}})
			u.next = now.Add(m.config.ReleasedRetry)
		}
	}
	m.closeFrozen(now)
	m.askMove(now)
}

func (m *Machine) handOver(u *unit, now time.Time) {
	m.emit(SendHandOver{To: u.to, Unit: u.id, Span: u.span, Move: u.move, FloorMS: u.floorMS})
	u.next = now.Add(m.config.HandOverRetry)
}

// serveWithFloor serves a unit without the memory of its earlier owner. All ids that
// one ran are stamped at most FloorMargin after this session received the unit.
func (m *Machine) serveWithFloor(u *unit, now time.Time) {
	if !m.breaks.trustMissing {
		u.floorMS = max(u.floorMS, u.received.Add(m.config.FloorMargin).UnixMilli())
		m.emit(RaiseFloor{Span: u.span, FloorMS: u.floorMS})
	}
	u.enter(serving, now)
}

// closeFrozen gives up the requests at a frozen backend server after their deadlines.
// The latest deadline ever admitted bounds them.
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
		n += u.inFlight() // an inherited count may be in two units; only 0 matters
	}
	return n
}

func (m *Machine) askMove(now time.Time) {
	if m.backend == BackendUp && !m.draining || now.Before(m.nextAsk) {
		return
	}
	var units []cluster.Unit
	for _, u := range m.order {
		if u.phase == awaiting || u.phase == serving {
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
	m.emit(AskMove{Units: units, Reason: reason})
	m.nextAsk = now.Add(m.config.AskMoveRetry)
}

// finish reports the end of a drain.
func (m *Machine) finish() {
	if m.draining && !m.closed && len(m.units) == 0 && len(m.queue.requests) == 0 {
		m.closed = true
		m.emit(Closed{})
	}
}

// NextTick returns when the next Tick is due; zero if nothing is due by itself.
func (m *Machine) NextTick() time.Time {
	var next time.Time
	due := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	asks := m.backend != BackendUp || m.draining
	for _, u := range m.order {
		switch u.phase {
		case awaiting:
			due(u.since.Add(m.config.HandOverWait))
		case draining, handingOver, released:
			due(u.next)
		}
		if asks && u.phase <= serving {
			due(m.nextAsk)
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
