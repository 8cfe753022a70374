// Package backend is the daemon's client of its backend server. It sends requests, says
// whether a failed request may have run, and detects crashes and freezes.
package backend

import "time"

// State is what the daemon knows about its backend server.
type State uint8

// Values of State.
const (
	// Unknown means that no backend server has announced itself.
	Unknown State = iota
	// Up means that the server is announced and responds.
	Up
	// Frozen means that the server has stopped responding, although its address does not
	// refuse connections.
	Frozen
	// Down means that the server has crashed or stopped.
	Down
)

// String returns the state as it is shown to operators.
func (s State) String() string {
	return [...]string{"unknown", "up", "frozen", "down"}[s]
}

// Event is an input of Machine.Step.
type Event interface{ event() }

// Announced means that a server process announced itself.
type Announced struct{ ProcessID uint64 }

// Responded means that the server responded to a request or a health probe, even if with
// an error or "not healthy".
type Responded struct{ ProcessID uint64 }

// ProbeFailed means that a health probe got no response in time.
type ProbeFailed struct{ ProcessID uint64 }

// ConnectionRefused means that the server's address refused a connection.
type ConnectionRefused struct{ ProcessID uint64 }

// ConnectionLost means that a connection broke with a request in flight.
type ConnectionLost struct{ ProcessID uint64 }

// Tick makes the Machine check its timeouts.
type Tick struct{}

func (Announced) event()         {}
func (Responded) event()         {}
func (ProbeFailed) event()       {}
func (ConnectionRefused) event() {}
func (ConnectionLost) event()    {}
func (Tick) event()              {}

// Action is an output of Machine.Step.
type Action uint8

// Values of Action.
const (
	// ProbeNow asks for an immediate health probe.
	ProbeNow Action = iota + 1
	// ReportUp tells the daemon that the server is up, either as a new process or because
	// a process that counted as down is announced again.
	ReportUp
	// ReportFrozen tells the daemon that the server has stopped responding.
	ReportFrozen
	// ReportResumed tells the daemon that a frozen server responds again.
	ReportResumed
	// ReportDown tells the daemon that the server process has ended.
	ReportDown
	// ReportLost tells the daemon about a request whose connection broke after ReportDown.
	// Client creates it, not Machine.
	ReportLost
)

// Machine is the state machine of the backend server. It has no clock and does no I/O.
type Machine struct {
	// FreezeAfter is how long the server may be silent, while probes fail, before it
	// counts as frozen.
	FreezeAfter time.Duration

	state     State
	processID uint64
	// respondedAt is the time of the last response, probeFailedAt that of the last failed
	// probe.
	respondedAt, probeFailedAt time.Time
}

// State returns the current state.
func (m *Machine) State() State { return m.state }

// ProcessID returns the process that the state belongs to.
func (m *Machine) ProcessID() uint64 { return m.processID }

// Step handles an event at the given time and returns the resulting actions. Events of an
// earlier process are ignored, because the loss of an old connection says nothing about
// the new process.
func (m *Machine) Step(event Event, now time.Time) []Action {
	switch e := event.(type) {
	case Announced:
		return m.announced(e.ProcessID, now)
	case Responded:
		if e.ProcessID == m.processID {
			return m.responded(now)
		}
	case ProbeFailed:
		if e.ProcessID == m.processID {
			m.probeFailedAt = now
			return m.checkFrozen(now)
		}
	case ConnectionRefused:
		if e.ProcessID == m.processID && (m.state == Up || m.state == Frozen) {
			m.state = Down
			return []Action{ReportDown}
		}
	case ConnectionLost:
		// One lost connection does not prove a crash; a probe that is refused does.
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
			// The process still runs, so the refused connection did not mean that it ended.
			m.state, m.respondedAt = Up, now
			return []Action{ReportUp}
		case Frozen:
			return []Action{ProbeNow}
		}
		return nil
	}
	m.state, m.processID, m.respondedAt, m.probeFailedAt = Up, processID, now, time.Time{}
	if previous == Up || previous == Frozen {
		return []Action{ReportDown, ReportUp}
	}
	return []Action{ReportUp}
}

func (m *Machine) responded(now time.Time) []Action {
	m.respondedAt = now
	if m.state != Frozen {
		return nil
	}
	m.state = Up
	return []Action{ReportResumed}
}

// checkFrozen detects a server that is silent while probes fail. Slow requests alone do
// not count, because a request may take long.
func (m *Machine) checkFrozen(now time.Time) []Action {
	if m.state != Up || !m.probeFailedAt.After(m.respondedAt) || now.Sub(m.respondedAt) < m.FreezeAfter {
		return nil
	}
	m.state = Frozen
	return []Action{ReportFrozen}
}
