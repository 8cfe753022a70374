package lease

import (
	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/metastore"
)

// Event is an input of a state machine. The messages Renew, Granted, Refused, Seal
// and Sealed are events, too. A state machine ignores events of the others.
type Event interface{ isEvent() }

// Tick lets time pass.
type Tick struct{}

// Committed is the result of CommitRow, CommitRenewal or CommitFence.
type Committed struct {
	Attempt uint64
	Outcome Outcome
}

// RowRead is the result of ReadRow and ReadLostRow. Rows count for OutcomeApplied.
type RowRead struct {
	Attempt uint64
	Outcome Outcome
	// Session is the session row.
	Session metastore.Row
	// Renewal is the renewal row for ReadLostRow.
	Renewal metastore.Row
	// RenewalSince is what RenewalWatch.Observe returned for Renewal; its zero value
	// means that the row was not watched before.
	RenewalSince Since
}

// Members replaces what a Holder knows about the cluster.
type Members struct {
	// Self is the holder's own member entry.
	Self cluster.Member
	// Members are all members; Self may be among them.
	Members []cluster.Member
	// Load is the number of sessions that members serve as witnesses, where known.
	Load map[cluster.Session]int
}

// Fenced tells a Holder that the cluster feed shows it as fenced.
type Fenced struct{}

// Leave makes a Holder give up its lease for good.
type Leave struct{}

// Forget tells a Witness that Session was fenced or left.
type Forget struct{ Session cluster.Session }

// NotLost tells a Witness that a takeover of Session ended without a fence and that
// the row is at Generation, so that all earlier generations are without effect.
type NotLost struct {
	Session    cluster.Session
	Generation uint64
}

// OperatorConfirmed tells a Takeover that an operator has confirmed that the
// instance is stopped. It replaces the seals.
type OperatorConfirmed struct{}

func (Tick) isEvent()              {}
func (Committed) isEvent()         {}
func (RowRead) isEvent()           {}
func (Members) isEvent()           {}
func (Fenced) isEvent()            {}
func (Leave) isEvent()             {}
func (Forget) isEvent()            {}
func (NotLost) isEvent()           {}
func (OperatorConfirmed) isEvent() {}
func (Renew) isEvent()             {}
func (Granted) isEvent()           {}
func (Refused) isEvent()           {}
func (Seal) isEvent()              {}
func (Sealed) isEvent()            {}
