// Package backend is the daemon's client of its backend server: it runs requests, says
// whether a failed one may have run, and finds crashes and freezes.
package backend

import "time"

// State is what the daemon knows about its backend server.
type State uint8

// The states.
const (
	// Unknown means that no backend server announced itself.
	Unknown State = iota
	// Up means that the server is announced and answers.
	Up
	// Frozen means that the server accepts connections but has stopped answering.
	Frozen
	// Down means that the server has crashed or stopped.
	Down
)

// String returns the state as it is shown to operators.
func (s State) String() string {
	return [...]string{"unknown", "up", "frozen", "down"}[s]
}

// Event is an input of Machine.
type Event interface{ event() }

// Announced is an announcement of a server process.
type Announced struct{ ProcessID uint64 }

// Answered means that the server answered a request or a health probe, also with an
// error or "not healthy".
type Answered struct{ ProcessID uint64 }

// ProbeFailed means that a health probe got no answer in time.
type ProbeFailed struct{ ProcessID uint64 }

// Refused means that the server's address refused a connection.
type Refused struct{ ProcessID uint64 }

// ConnectionLost means that a connection broke with a request in flight.
type ConnectionLost struct{ ProcessID uint64 }

// Tick lets time pass.
type Tick struct{}

func (Announced) event()      {}
func (Answered) event()       {}
func (ProbeFailed) event()    {}
func (Refused) event()        {}
func (ConnectionLost) event() {}
func (Tick) event()           {}

// Action is an output of Machine.
type Action uint8

// The actions.
const (
	// ProbeNow asks for a health probe at once.
	ProbeNow Action = iota + 1
	// ReportUp tells the daemon that a new server process serves.
	ReportUp
	// ReportFrozen tells the daemon that the server has stopped answering.
	ReportFrozen
	// ReportResumed tells the daemon that a frozen server answers again.
	ReportResumed
	// ReportDown tells the daemon that the server process has ended.
	ReportDown
	// ReportLost tells the daemon of a request that broke after ReportDown. Client makes
	// it, not Machine.
	ReportLost
)

// Machine decides the state of the backend server. It is pure: it has no clock and does
// no I/O.
type Machine struct {
	// FreezeAfter is how long the server may be silent, while probes fail, before it
	// counts as frozen.
	FreezeAfter time.Duration

	state     State
	processID uint64
	// answeredAt is the time of the last answer; failedAt that of the last failed probe.
	answeredAt, failedAt time.Time
}

// State returns the current state.
func (m *Machine) State() State { return m.state }

// ProcessID returns the process that the state is about.
func (m *Machine) ProcessID() uint64 { return m.processID }

// Step takes an event and the time and returns what to do. Events of an earlier process
// have no effect, so an old connection that breaks late says nothing about a new server.
func (m *Machine) Step(event Event, now time.Time) []Action {
	switch e := event.(type) {
	case Announced:
		return m.announced(e.ProcessID, now)
	case Answered:
		if e.ProcessID == m.processID {
			return m.answered(now)
		}
	case ProbeFailed:
		if e.ProcessID == m.processID {
			m.failedAt = now
			return m.checkFrozen(now)
		}
	case Refused:
		if e.ProcessID == m.processID && (m.state == Up || m.state == Frozen) {
			m.state = Down
			return []Action{ReportDown}
		}
	case ConnectionLost:
		// One broken connection does not prove a crash; a refused probe does.
		if e.ProcessID == m.processID && m.state != Down {
			return []Action{ProbeNow}
		}
	case Tick:
		return m.checkFrozen(now)
	}
	return nil
}

func (m *Machine) announced(processID uint64, now time.Time) []Action {
	previous := m.state
	if processID == m.processID && previous != Unknown {
		switch previous {
		case Down:
			// The process lives, so the refusal was not its end.
			m.state, m.answeredAt = Up, now
			return []Action{ReportUp}
		case Frozen:
			return []Action{ProbeNow}
		}
		return nil
	}
	m.state, m.processID, m.answeredAt, m.failedAt = Up, processID, now, time.Time{}
	if previous == Up || previous == Frozen {
		return []Action{ReportDown, ReportUp}
	}
	return []Action{ReportUp}
}

func (m *Machine) answered(now time.Time) []Action {
	m.answeredAt = now
	if m.state != Frozen {
		return nil
	}
	m.state = Up
	return []Action{ReportResumed}
}

// checkFrozen finds a server that is silent while probes fail. Slow requests alone are
// not enough, because a server may take long for one.
func (m *Machine) checkFrozen(now time.Time) []Action {
	if m.state != Up || !m.failedAt.After(m.answeredAt) || now.Sub(m.answeredAt) < m.FreezeAfter {
		return nil
	}
	m.state = Frozen
	return []Action{ReportFrozen}
}
