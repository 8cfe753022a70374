package peer

import (
	"errors"
	"time"

	"github.com/basilway/basilway/verdict"
)

// congestionRetryAfter is the retry time sent when a queue is full. A queue of the default
// length drains within it.
const congestionRetryAfter = 20 * time.Millisecond

// Error is the error type of Call and Notify. verdict.From returns its verdict.
type Error struct {
	Err *verdict.Error
	// Detail is the CBOR detail that the handler attached; nil if there is none.
	Detail []byte
	// Remote is true if the peer responded with the error, and false if it arose in this
	// daemon or on the connection.
	Remote bool
}

// Error implements error.
func (e *Error) Error() string { return "peer: " + e.Err.Error() }

// Unwrap returns the error with the verdict.
func (e *Error) Unwrap() error { return e.Err }

// WithDetail returns err with a detail, for a handler to return. The caller reads the
// detail with DecodeDetail. If the detail cannot be encoded, WithDetail returns the
// encoding error instead.
func WithDetail(err *verdict.Error, detail any) error {
	data, encodeErr := Encode(detail)
	if encodeErr != nil {
		return encodeErr
	}
	return &Error{Err: err, Detail: data}
}

// DecodeDetail decodes the detail of an error of Call into v. It returns false if there is
// none.
func DecodeDetail(err error, v any) (bool, error) {
	detail := detailOf(err)
	if detail == nil {
		return false, nil
	}
	return true, Decode(detail, v)
}

func detailOf(err error) []byte {
	var e *Error
	if errors.As(err, &e) {
		return e.Detail
	}
	return nil
}

func localError(v verdict.Verdict, reason verdict.Reason, format string, args ...any) *Error {
	return &Error{Err: verdict.New(v, reason, format, args...)}
}

func congested(format string, args ...any) *Error {
	return &Error{Err: verdict.New(verdict.NotRun, verdict.ReasonOverloaded, format, args...).WithRetryAfter(congestionRetryAfter)}
}
