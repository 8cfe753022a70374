package httpclient

import "fmt"

// Stage is how far an exchange got before it failed.
type Stage uint8

const (
	// NotSent means that no byte of the request was written.
	NotSent Stage = iota
	// Sent means that the request may have arrived.
	Sent
)

// Error is the error of a failed exchange.
type Error struct {
	Stage Stage
	// Refused is set if nothing listens at the address.
	Refused bool
	// BadResponse is set if the received bytes are not a response to the request.
	BadResponse bool
	// Closed is set if the peer closed or reset the connection.
	Closed bool
	Err    error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Stage == NotSent {
		return fmt.Sprintf("request not sent: %v", e.Err)
	}
	return fmt.Sprintf("request sent, no answer: %v", e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// BoundError means that the peer sent more than a response may have before its body. The connection is
// closed.
type BoundError struct {
	// Bound names what was exceeded: "head" or "interim".
	Bound string
	// Limit is the number of bytes of a head, or of interim responses.
	Limit int
}

// Error implements error.
func (e *BoundError) Error() string {
	if e.Bound == boundHead {
		return fmt.Sprintf("the head of the response is over %d bytes", e.Limit)
	}
	return fmt.Sprintf("more than %d interim responses", e.Limit)
}
