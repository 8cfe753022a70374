package ownership

import (
	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/verdict"
)

// NotOwnerError says that this session does not own a unit. errors.As also finds the
// *verdict.Error in it, which has verdict NotRun.
type NotOwnerError struct {
	Unit cluster.Unit
	// Owner is the owner at Version; zero if the unit has none.
	Owner cluster.Session
	// Version is the cluster version that this session has applied.
	Version uint64
}

// Error implements error.
func (e *NotOwnerError) Error() string { return e.Unwrap().Error() }

// Unwrap returns the *verdict.Error.
func (e *NotOwnerError) Unwrap() error {
	if e.Owner.IsZero() {
		return verdict.New(verdict.NotRun, verdict.ReasonNoOwner,
			"unit %x of %q has no owner at version %d", e.Unit.Start, e.Unit.Service, e.Version)
	}
	return verdict.New(verdict.NotRun, verdict.ReasonNotOwner,
		"unit %x of %q is owned by %s at version %d", e.Unit.Start, e.Unit.Service, e.Owner, e.Version)
}

// Errors of Gate and of RejectQueued that do not name a unit.
var (
	ErrLeaseLost = verdict.New(verdict.NotRun, verdict.ReasonLeaseLost,
		"the daemon's lease is not valid")
	ErrBackendNotReady = verdict.New(verdict.NotRun, verdict.ReasonBackendDown,
		"the backend server does not take requests")
	ErrDeadline = verdict.New(verdict.NotRun, verdict.ReasonDeadline,
		"the deadline passed before the request was sent")
	ErrQueueFull = verdict.New(verdict.NotRun, verdict.ReasonOverloaded,
		"too many requests wait for the unit to move")
)
