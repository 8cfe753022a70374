package admission

import (
	"time"

	"github.com/basilway/basilway/catalogue"
	"github.com/basilway/basilway/verdict"
)

// Request is what admission needs to know of a request.
type Request struct {
	Team string
	// Class counts as background if it is not valid.
	Class   catalogue.Class
	KeyHash uint64
	Caller  string
	// Deadline is when the caller gives up; the zero time is never.
	Deadline time.Time
}

// Ticket identifies an admitted or queued request until its end. 0 is no ticket.
type Ticket uint64

// Kind is what Begin decided.
type Kind uint8

// The decisions.
const (
	// Rejected means that the request must not be sent; Decision.Err says why.
	Rejected Kind = iota
	// Run means that the request is sent now and ended with End.
	Run
	// Queued means that a later Actions starts or rejects the request, unless Cancel
	// removes it first.
	Queued
)

// Decision is the outcome of Begin for the new request.
type Decision struct {
	Kind Kind
	// Ticket is set for Run and Queued.
	Ticket Ticket
	// Err is set for Rejected; its verdict is NotRun.
	Err *verdict.Error
}

// Actions is what an event means for requests that wait. Each ticket of a queued
// request appears once, in Start or in Reject.
type Actions struct {
	// Start holds requests to send now, in this order.
	Start []Ticket
	// Reject holds requests that must not be sent; their tickets are void.
	Reject []Rejection
}

// Rejection is a queued request that does not run.
type Rejection struct {
	Ticket Ticket
	// Err has verdict NotRun.
	Err *verdict.Error
}

// Outcome is how a request that ran on the server ended.
type Outcome uint8

// The outcomes.
const (
	// Completed means that the server answered.
	Completed Outcome = iota
	// Failed means that the server answered with an error. Its latency does not
	// count, so that a server that fails fast does not look fast.
	Failed
	// TimedOut means that no answer came in time.
	TimedOut
	// Lost means that the server crashed or the connection broke.
	Lost
	// NotSent means that the request was given up before it was sent.
	NotSent
)

// Stats is a snapshot for metrics.
type Stats struct {
	Slots int
	// Limit is the number of requests that may be in flight now.
	Limit    int
	InFlight int
	Queued   int
	// UsualLatency is what the adaptive limit compares with; 0 if not yet known.
	UsualLatency time.Duration
}
