package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Error is the outcome of a request that has no answer.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Reason is the machine-readable cause.
	Reason Reason
	// RetryAfter is when to send the request again; 0 if that is of no use.
	RetryAfter time.Duration
	// ForID says that NotRun holds for every call with the request's id, because the
	// owner's memory of ids was asked. Otherwise it holds for this call only.
	ForID bool
	// Message explains the cause to a person.
	Message string
}

// New returns an Error without a time to come back.
func New(v Verdict, reason Reason, format string, args ...any) *Error {
	return &Error{Verdict: v, Reason: reason, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of e that tells the caller when to come back.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Reason, e.Verdict, e.Message)
}

// From returns the Error in err's chain. An error of another type becomes
// MayHaveRun with ReasonInternal, because nothing is known about the request.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(MayHaveRun, ReasonInternal, "%v", err)
}
