package lease

import (
	"time"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/metastore"
)

// Action is an output of Handle that the caller must carry out.
type Action interface{ isAction() }

// SendRenew sends a Renew to Renew.Witness.
type SendRenew struct{ Renew Renew }

// CommitRow commits the holder's session row. The caller answers with Committed.
type CommitRow struct {
	Attempt uint64
	Txn     metastore.Txn
}

// CommitRenewal writes the holder's renewal row. The caller answers with Committed.
type CommitRenewal struct {
	Attempt uint64
	Txn     metastore.Txn
}

// ReadRow reads the holder's session row. The caller answers with RowRead.
type ReadRow struct {
	Attempt uint64
	Key     string
}

// LeaseChanged publishes a new end of the lease. The lease is invalid if ValidUntil
// is zero or has passed. The request path must use this value until another one is
// published; the new end may be earlier than the last one, for example when the commit
// of a new witness set starts.
type LeaseChanged struct {
	ValidUntil time.Time
	Generation uint64
}

// StopReason says why a holder stopped.
type StopReason uint8

// Values of StopReason.
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

// Stopped is the last action of a Holder. The process must rejoin as a new session.
type Stopped struct{ Reason StopReason }

// SendGranted answers the sender of a Renew.
type SendGranted struct{ Granted Granted }

// SendRefused answers the sender of a Renew.
type SendRefused struct{ Refused Refused }

// SendSealed answers the sender of a Seal.
type SendSealed struct{ Sealed Sealed }

// ReportExpired sends Expired to the planner.
type ReportExpired struct{ Expired Expired }

// TakePlanner tells the daemon to take the planner row and to start a takeover of
// Expired.Session.
type TakePlanner struct{ Expired Expired }

// ReadLostRows reads a lost session's row and then its renewal row, in this order, to
// see a renewal that is applied between the reads. The caller answers with RowRead.
type ReadLostRows struct {
	Attempt uint64
	Session cluster.Session
}

// SendSeal sends a Seal to Seal.Witness.
type SendSeal struct{ Seal Seal }

// CommitFence commits the fence. The caller adds the conditions and writes of the
// cluster feed and of the planner row, and may merge several fences into one
// transaction. It answers with Committed, with OutcomeConflict if any condition
// failed.
type CommitFence struct {
	Attempt    uint64
	Session    cluster.Session
	Conditions []metastore.Condition
	Writes     []metastore.Write
}

// NeedOperator says that too few of the witness incarnations in the row still run to
// prove that the lease has ended. The takeover continues after OperatorConfirmed.
type NeedOperator struct{ Session cluster.Session }

// TakeoverResult is how a takeover ended.
type TakeoverResult uint8

// Values of TakeoverResult.
const (
	// TakeoverFenced means that this or another takeover fenced the session.
	TakeoverFenced TakeoverResult = iota + 1
	// TakeoverAlive means that a quorum of witnesses grants. The caller passes NotLost
	// to the witness that reported.
	TakeoverAlive
	// TakeoverSuperseded means that the session row does not name the witness that
	// reported. The caller passes NotLost to that witness.
	TakeoverSuperseded
	// TakeoverGone means that the session row does not exist.
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

// TakeoverDone is the last action of a Takeover.
type TakeoverDone struct {
	Session cluster.Session
	Result  TakeoverResult
	// Generation is the generation of the session row.
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
func (ReadLostRows) isAction()  {}
func (SendSeal) isAction()      {}
func (CommitFence) isAction()   {}
func (NeedOperator) isAction()  {}
func (TakeoverDone) isAction()  {}
