package admission

import (
	"time"

	"github.com/basilway/basilway/catalogue"
	"github.com/basilway/basilway/verdict"
)

// Request holds the properties of a request that affect its admission.
type Request struct {
	Team string
	// Class is treated as background if it is not valid.
	Class   catalogue.Class
	KeyHash uint64
	Caller  string
	// Deadline is when the caller gives up; the zero time means never.
	Deadline time.Time
}

// Ticket identifies a running or queued request until it ends. 0 is no ticket.
type Ticket uint64

// Kind is what Begin decided.
type Kind uint8

// The decisions.
const (
	// Rejected means that the request must not be sent; Decision.Err says why.
	Rejected Kind = iota
	// Run means that the request must be sent now and reported with End when it ends.
	Run
	// Queued means that a later Actions starts or rejects the request, unless Cancel
	// removes it first.
	Queued
)

// Decision is the result of Begin for the new request.
type Decision struct {
	Kind Kind
	// Ticket is set for Run and Queued.
	Ticket Ticket
	// Err is set for Rejected; its verdict is NotRun.
	Err *verdict.Error
}

// Actions is what an event changes for queued requests. Each ticket of a queued request
// appears once, in Start or in Reject.
type Actions struct {
	// Start holds the requests to send now, in this order.
	Start []Ticket
	// Reject holds the requests that must not be sent; their tickets are no longer valid.
	Reject []Rejection
}

// Rejection is a queued request that is rejected.
type Rejection struct {
	Ticket Ticket
	// Err has verdict NotRun.
	Err *verdict.Error
}

// Outcome is how a request that ran on the server ended.
type Outcome uint8

// The outcomes.
const (
	// Completed means that the server responded without an error.
	Completed Outcome = iota
	// Failed means that the server responded with an error. The adaptive limit ignores its
	// latency, so that a server that fails fast does not look fast.
	Failed
	// TimedOut means that no response came in time.
	TimedOut
	// Lost means that the server crashed or the connection broke.
	Lost
	// NotSent means that the request was abandoned before it was sent.
	NotSent
)

// Stats is a snapshot for metrics.
type Stats struct {
	Slots int
	// Limit is the number of requests that may be in flight now.
	Limit    int
	InFlight int
	Queued   int
	// BaselineLatency is the latency with which the adaptive limit compares; 0 until it
	// is known.
	BaselineLatency time.Duration
}
