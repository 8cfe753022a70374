package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Error is the outcome of a request that failed.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Reason is the machine-readable cause.
	Reason Reason
	// RetryAfter is how long to wait before sending the request again; 0 if no wait
	// is suggested.
	RetryAfter time.Duration
	// ForID means that NotRun holds for every call with the same request id, because the
	// owner checked the request ids that it remembers. Without it, NotRun holds for this
	// call only.
	ForID bool
	// Message describes the cause for people.
	Message string
}

// New returns an Error without RetryAfter.
func New(v Verdict, reason Reason, format string, args ...any) *Error {
	return &Error{Verdict: v, Reason: reason, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of e with RetryAfter set to d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Reason, e.Verdict, e.Message)
}

// From returns the first Error in err's chain. If there is none, it returns a new Error
// with MayHaveRun and ReasonInternal, because nothing is known about the request.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(MayHaveRun, ReasonInternal, "%v", err)
}
