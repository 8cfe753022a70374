package httpclient

import "fmt"

// Stage is how far an exchange had come when it failed.
type Stage uint8

const (
	// NotSent means that no byte of the request was written.
	NotSent Stage = iota
	// Sent means that the request may have arrived.
	Sent
)

// Error is a failed exchange.
type Error struct {
	Stage Stage
	// Refused is set if nobody listens at the address.
	Refused bool
	// Broken is set if bytes arrived that are no answer to the request.
	Broken bool
	// Closed is set if the other side ended the connection.
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
