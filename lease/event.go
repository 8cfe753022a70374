package lease

import (
	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/metastore"
)

// Event is an input of a state machine. The messages Renew, Granted, Refused, Seal
// and Sealed are events, too. A state machine ignores events meant for the others.
type Event interface{ isEvent() }

// Tick triggers the work that is due at the time passed to Handle.
type Tick struct{}

// Committed is the result of CommitRow, CommitRenewal or CommitFence.
type Committed struct {
	Attempt uint64
	Outcome Outcome
}

// RowRead is the result of ReadRow or ReadLostRows. The rows are used only with
// OutcomeApplied.
type RowRead struct {
	Attempt uint64
	Outcome Outcome
	// Session is the session row.
	Session metastore.Row
	// Renewal is the renewal row for ReadLostRows.
	Renewal metastore.Row
	// RenewalFirstSeen is what RenewalWatch.Observe returned for Renewal; zero if the row
	// was not watched before.
	RenewalFirstSeen FirstSeen
}

// Members replaces the members of the cluster that a Holder knows.
type Members struct {
	// Self is the holder's own member entry.
	Self cluster.Member
	// Members lists all members; Self may be among them.
	Members []cluster.Member
	// Load is the number of sessions for which each member is a witness, where known.
	Load map[cluster.Session]int
}

// Fenced tells a Holder that the cluster feed shows its session as fenced.
type Fenced struct{}

// Leave makes a Holder give up its lease permanently.
type Leave struct{}

// Forget tells a Witness that Session was fenced or left.
type Forget struct{ Session cluster.Session }

// NotLost tells a Witness that a takeover of Session ended without a fence and that
// the session row is at Generation, so earlier generations no longer count.
type NotLost struct {
	Session    cluster.Session
	Generation uint64
}

// OperatorConfirmed tells a Takeover that an operator has confirmed that the
// instance is stopped. No seals are needed then.
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
