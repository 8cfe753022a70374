package ownership

import (
	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/dedupe"
	"github.com/basilway/basilway/quarantine"
)

// Action is an output of Machine.Handle. The daemon carries out actions in order.
type Action interface{ action() }

// SendHandover sends a Handover with the unit's memory of request ids to its next
// owner. No request of the unit is in flight.
type SendHandover struct {
	To   cluster.Session
	Unit cluster.Unit
	Span dedupe.Span
	Move uint64
	// FloorMS is the unit's floor in Unix milliseconds, to pass to dedupe.Memory.Export.
	FloorMS int64
}

// SendReleased sends Message to the current planner.
type SendReleased struct{ Message Released }

// RequestMove tells the planner that Units must move away.
type RequestMove struct {
	Units  []cluster.Unit
	Reason MoveReason
}

// StartQueued removes a request from the queue; the daemon calls Gate.Admit again.
type StartQueued struct{ ID uint64 }

// RejectQueued removes a request from the queue and answers it with Err, which has
// verdict NotRun.
type RejectQueued struct {
	ID  uint64
	Err error
}

// RaiseFloor raises the floor of Span in the memory of request ids to FloorMS, in Unix
// milliseconds.
type RaiseFloor struct {
	Span    dedupe.Span
	FloorMS int64
}

// SetUnits passes the boundaries of a service's units to the memory of request ids.
type SetUnits struct {
	Service         string
	Starts, HotKeys []uint64
}

// CloseBackend closes the connections to a frozen backend server and ends the requests
// in flight there with MayHaveRun. Their deadlines have passed.
type CloseBackend struct{}

// Drained reports that a drained daemon owns no units and has no requests in flight or
// queued.
type Drained struct{}

// SessionRemoved reports that this session was fenced or left. It never serves again;
// the daemon joins as a new session.
type SessionRemoved struct{}

func (SendHandover) action()   {}
func (SendReleased) action()   {}
func (RequestMove) action()    {}
func (StartQueued) action()    {}
func (RejectQueued) action()   {}
func (RaiseFloor) action()     {}
func (SetUnits) action()       {}
func (CloseBackend) action()   {}
func (Drained) action()        {}
func (SessionRemoved) action() {}

// MoveReason says why units must move away.
type MoveReason uint8

// Values of MoveReason, in ascending order of urgency.
const (
	MoveForDrain MoveReason = iota + 1
	MoveForBackend
)

// Handover is the message from the old to the new owner of a unit.
type Handover struct {
	Unit cluster.Unit    `cbor:"1,keyasint"`
	From cluster.Session `cbor:"2,keyasint"`
	// Move is the cluster version that opened the move. A message of an earlier move
	// is ignored, because it lacks the ids that the old owner ran since.
	Move       uint64              `cbor:"3,keyasint"`
	IDs        dedupe.Handover     `cbor:"4,keyasint"`
	Quarantine []quarantine.Record `cbor:"5,keyasint,omitempty"`
}

// Released tells the planner that the old owner of a unit has stopped serving it. The
// planner commits the new owner only if the MoveVersion of the unit's open move equals
// Move, because the old owner serves again after a move was cancelled.
type Released struct {
	Unit cluster.Unit    `cbor:"1,keyasint"`
	From cluster.Session `cbor:"2,keyasint"`
	To   cluster.Session `cbor:"3,keyasint"`
	Move uint64          `cbor:"4,keyasint"`
}
