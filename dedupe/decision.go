package dedupe

import (
	"time"

	"github.com/basilway/basilway/verdict"
	"github.com/google/uuid"
)

// Action tells the caller of Memory.Begin what to do with a request.
type Action uint8

// The actions.
const (
	// Run means that the request must run. Its id is recorded as in flight, and the
	// caller must call Memory.Finish.
	Run Action = iota
	// Wait means that the same request is in flight; the duplicate gets its result.
	Wait
	// Replay means that the request ran and Decision.Response is its response.
	Replay
	// Ran means that the request ran and its response is not kept.
	Ran
	// MayHaveRun means that the timestamp of the id is at or below the floor, or that the
	// request finished with an unknown outcome. The request must not run.
	MayHaveRun
	// Refuse means that the request must not run because its id is invalid or because
	// MaxIDs ids are in flight; see Decision.Err.
	Refuse
)

// Decision is the result of Memory.Begin.
type Decision struct {
	Action Action
	// Response is the kept response. It is shared with the Memory and must not be modified.
	Response []byte
	// Err is the error to return for Ran, MayHaveRun and Refuse; nil otherwise.
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

// ParseID parses a request id, which must be a UUIDv7. The error is a *verdict.Error with
// verdict NotRun.
func ParseID(text string) (uuid.UUID, error) {
	id, err := uuid.Parse(text)
	if err != nil || !isV7(id) {
		return uuid.UUID{}, errNotV7
	}
	return id, nil
}

func isV7(id uuid.UUID) bool { return id.Version() == 7 && id.Variant() == uuid.RFC4122 }

// TimestampMS returns the timestamp of a UUIDv7 as Unix time in milliseconds.
func TimestampMS(id uuid.UUID) int64 {
	return int64(id[0])<<40 | int64(id[1])<<32 | int64(id[2])<<24 |
		int64(id[3])<<16 | int64(id[4])<<8 | int64(id[5])
}
