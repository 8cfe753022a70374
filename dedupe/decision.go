package dedupe

import (
	"time"

	"github.com/basilway/basilway/verdict"
	"github.com/google/uuid"
)

// Action is what to do with a request.
type Action uint8

// The actions.
const (
	// Run means that the id is recorded as in flight; Finish must follow.
	Run Action = iota
	// Wait means that the same request is in flight; it gets the same result.
	Wait
	// Answer means that the request finished and Decision.Answer is its answer.
	Answer
	// Ran means that the request ran and its answer is no longer kept.
	Ran
	// MayHaveRun means that the id is at or below the floor, or finished without a
	// known outcome. The request must not run.
	MayHaveRun
	// Refuse means that the request did not run because of its id or for lack of
	// memory; see Decision.Err.
	Refuse
)

// Decision is the result of Memory.Begin.
type Decision struct {
	Action Action
	// Answer is shared with the memory and must not be modified.
	Answer []byte
	// Err is the error for the caller; set with Ran, MayHaveRun and Refuse.
	Err *verdict.Error
}

var (
	errRan = verdict.New(verdict.Ran, verdict.ReasonRepeated,
		"the request with this request_id ran; its answer is no longer kept")
	errMayHaveRun = verdict.New(verdict.MayHaveRun, verdict.ReasonRepeated,
		"the request with this request_id was sent before and its outcome is unknown")
	errTooOld = verdict.New(verdict.MayHaveRun, verdict.ReasonIDTooOld,
		"request_id is older than the ids remembered for this key")
	errNotV7 = verdict.New(verdict.NotRun, verdict.ReasonInvalid,
		"request_id is not a UUIDv7")
	errAhead = verdict.New(verdict.NotRun, verdict.ReasonInvalid,
		"request_id is stamped too far in the future; check the clock or use NewRequestId")
	errFull = verdict.New(verdict.NotRun, verdict.ReasonOverloaded,
		"all remembered request ids are in flight").WithRetryAfter(time.Second)
)

// ParseID parses a request id. The error is a *verdict.Error with NotRun.
func ParseID(text string) (uuid.UUID, error) {
	id, err := uuid.Parse(text)
	if err != nil || !isV7(id) {
		return uuid.UUID{}, errNotV7
	}
	return id, nil
}

func isV7(id uuid.UUID) bool { return id.Version() == 7 && id.Variant() == uuid.RFC4122 }

// StampMS returns the Unix time in milliseconds in a UUIDv7.
func StampMS(id uuid.UUID) int64 {
	return int64(id[0])<<40 | int64(id[1])<<32 | int64(id[2])<<24 |
		int64(id[3])<<16 | int64(id[4])<<8 | int64(id[5])
}
