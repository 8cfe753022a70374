package lease

import (
	"time"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/metastore"
)

// Action is what the caller has to do.
type Action interface{ isAction() }

// SendRenew sends a Renew to Renew.Witness.
type SendRenew struct{ Renew Renew }

// CommitRow commits the holder's session row. The answer is Committed.
type CommitRow struct {
	Attempt uint64
	Txn     metastore.Txn
}

// CommitRenewal writes the holder's renewal row. The answer is Committed.
type CommitRenewal struct {
	Attempt uint64
	Txn     metastore.Txn
}

// ReadRow reads the holder's session row. The answer is RowRead.
type ReadRow struct {
	Attempt uint64
	Key     string
}

// LeaseChanged publishes a new end of the lease. The lease is invalid if ValidUntil
// is zero or has passed. The request path must use this value as long as no later
// one is published; the end may move back when a change of witnesses begins.
type LeaseChanged struct {
	ValidUntil time.Time
	Generation uint64
}

// StopReason says why a holder stopped.
type StopReason uint8

// The reasons.
const (
	StoppedFenced StopReason = iota + 1
	StoppedLeft
)

// String returns the reason as it is written in logs.
func (r StopReason) String() string {
	if r == StoppedLeft {
		return "left"
	}
	return "fenced"
}

// Stopped is a holder's last action. The process must rejoin as a new session.
type Stopped struct{ Reason StopReason }

// SendGranted sends an answer to a session.
type SendGranted struct{ Granted Granted }

// SendRefused sends an answer to a session.
type SendRefused struct{ Refused Refused }

// SendSealed answers the sender of a Seal.
type SendSealed struct{ Sealed Sealed }

// ReportExpired sends a report to the planner.
type ReportExpired struct{ Expired Expired }

// TakePlanner tells the daemon to take the planner row and to take the session over.
type TakePlanner struct{ Expired Expired }

// ReadLostRow reads a lost session's row and then its renewal row, in this order:
// a renewal that is applied in between is then seen. The answer is RowRead.
type ReadLostRow struct {
	Attempt uint64
	Session cluster.Session
}

// SendSeal sends a Seal to Seal.Witness.
type SendSeal struct{ Seal Seal }

// CommitFence commits the fence. The caller adds the conditions and writes of the
// cluster feed and of the planner row, and may merge several fences into one
// transaction. The answer is Committed; a conflict on any condition counts.
type CommitFence struct {
	Attempt    uint64
	Session    cluster.Session
	Conditions []metastore.Condition
	Writes     []metastore.Write
}

// NeedOperator says that too few witness incarnations still run to decide that the
// lease has ended. The takeover goes on if OperatorConfirmed arrives.
type NeedOperator struct{ Session cluster.Session }

// TakeoverResult is how a takeover ended.
type TakeoverResult uint8

// The results.
const (
	// TakeoverFenced means that the session is fenced, by this or another takeover.
	TakeoverFenced TakeoverResult = iota + 1
	// TakeoverAlive means that a quorum of witnesses grants. The caller passes NotLost
	// to the witness that reported.
	TakeoverAlive
	// TakeoverSuperseded means that the row does not name the witness that reported.
	// The caller passes NotLost to that witness.
	TakeoverSuperseded
	// TakeoverGone means that the row does not exist.
	TakeoverGone
)

// String returns the result as it is written in logs.
func (r TakeoverResult) String() string {
	switch r {
	case TakeoverFenced:
		return "fenced"
	case TakeoverAlive:
		return "alive"
	case TakeoverSuperseded:
		return "superseded"
	default:
		return "gone"
	}
}

// TakeoverDone is a takeover's last action.
type TakeoverDone struct {
	Session cluster.Session
	Result  TakeoverResult
	// Generation is the generation of the row.
	Generation uint64
}

func (SendRenew) isAction()     {}
func (CommitRow) isAction()     {}
func (CommitRenewal) isAction() {}
func (ReadRow) isAction()       {}
func (LeaseChanged) isAction()  {}
func (Stopped) isAction()       {}
func (SendGranted) isAction()   {}
func (SendRefused) isAction()   {}
func (SendSealed) isAction()    {}
func (ReportExpired) isAction() {}
func (TakePlanner) isAction()   {}
func (ReadLostRow) isAction()   {}
func (SendSeal) isAction()      {}
func (CommitFence) isAction()   {}
func (NeedOperator) isAction()  {}
func (TakeoverDone) isAction()  {}
