package ownership

import (
	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/dedupe"
	"github.com/basilway/basilway/quarantine"
)

// Action is an output of Machine.Handle. Actions are carried out in order.
type Action interface{ action() }

// SendHandOver asks to send a HandOver with the unit's memory to its next owner. No
// request of the unit is in flight.
type SendHandOver struct {
	To   cluster.Session
	Unit cluster.Unit
	Span dedupe.Span
	Move uint64
	// FloorMS is the unit's floor by the cluster state, to pass to Memory.Export.
	FloorMS int64
}

// SendReleased asks to send Message to the current planner.
type SendReleased struct{ Message Released }

// AskMove asks to tell the planner that Units must move away.
type AskMove struct {
	Units  []cluster.Unit
	Reason MoveReason
}

// StartQueued takes a request from the queue; the daemon calls Gate.Admit again.
type StartQueued struct{ ID uint64 }

// RejectQueued takes a request from the queue and answers it with Err, which has
// verdict NotRun.
type RejectQueued struct {
	ID  uint64
	Err error
}

// RaiseFloor asks to raise the floor in the memory of request ids.
type RaiseFloor struct {
	Span    dedupe.Span
	FloorMS int64
}

// SetUnits gives the memory of request ids the units of a service.
type SetUnits struct {
	Service         string
	Starts, HotKeys []uint64
}

// CloseBackend asks to close the connections to a frozen backend server and to end
// the requests in flight there with MayHaveRun. Their deadlines have passed.
type CloseBackend struct{}

// Closed says that a drained daemon owns nothing and has nothing in flight or queued.
type Closed struct{}

// SessionRemoved says that this session was fenced or left. It never serves again;
// the daemon joins as a new session.
type SessionRemoved struct{}

func (SendHandOver) action()   {}
func (SendReleased) action()   {}
func (AskMove) action()        {}
func (StartQueued) action()    {}
func (RejectQueued) action()   {}
func (RaiseFloor) action()     {}
func (SetUnits) action()       {}
func (CloseBackend) action()   {}
func (Closed) action()         {}
func (SessionRemoved) action() {}

// MoveReason says why units must move away.
type MoveReason uint8

// The reasons, in order of urgency.
const (
	MoveForDrain MoveReason = iota + 1
	MoveForBackend
)

// HandOver is the message from the old to the new owner of a unit.
type HandOver struct {
	Unit cluster.Unit    `cbor:"1,keyasint"`
	From cluster.Session `cbor:"2,keyasint"`
	// Move is the cluster version that opened the move. A message of an earlier move
	// lacks the ids of the time since and does not count.
	Move       uint64              `cbor:"3,keyasint"`
	IDs        dedupe.HandOver     `cbor:"4,keyasint"`
	Quarantine []quarantine.Record `cbor:"5,keyasint,omitempty"`
}

// Released is the message from the old owner of a unit to the planner. The planner
// commits the new owner only if the unit's open move has MoveVersion equal to Move,
// because the old owner serves again after a move was cancelled.
type Released struct {
	Unit cluster.Unit    `cbor:"1,keyasint"`
	From cluster.Session `cbor:"2,keyasint"`
	To   cluster.Session `cbor:"3,keyasint"`
	Move uint64          `cbor:"4,keyasint"`
}
