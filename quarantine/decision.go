package quarantine

import (
	"time"

	"github.com/basilway/basilway/verdict"
)

// Action is what to do with a request.
type Action uint8

// The actions.
const (
	// Run means that the request may run and counts as in flight until its Ticket is passed
	// to Table.End.
	Run Action = iota
	// Wait means that both this request and one in flight on the backend server have a
	// strike. Call Table.Begin again after any End or Crashed, until the request's deadline.
	Wait
	// Refuse means that the request is quarantined until Decision.Until.
	Refuse
)

// Ticket identifies one request in flight.
type Ticket struct {
	fingerprint Fingerprint
	crashes     uint64
}

// Decision is the result of Table.Begin.
type Decision struct {
	Action Action
	// Ticket is to be passed to Table.End when the request ends; set with Run.
	Ticket Ticket
	// Until is when the quarantine ends; set with Refuse.
	Until time.Time
}

// Err returns the error for a refused request, or nil for other decisions.
func (d Decision) Err(now time.Time) *verdict.Error {
	if d.Action != Refuse {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.ReasonQuarantined,
		"backend servers crashed repeatedly while running this request; quarantined until %s",
		d.Until.UTC().Format(time.RFC3339)).WithRetryAfter(d.Until.Sub(now))
}
