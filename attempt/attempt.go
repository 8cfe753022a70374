// Package attempt decides what follows a failed try of a request: another try, a pause, or
// the end, and with it when the caller should come back. State does no I/O and reads no
// clock.
//
// The load pattern that it answers: all backend servers of a service are full, or some are
// full while others restart. A request is offered to each of them once; if none takes it, the
// caller learns when the first of them expects room, not what the last one said.
package attempt

import (
	"time"

	"github.com/basilway/basilway/verdict"
)

// Request is what the decisions depend on.
type Request struct {
	// Sharded requests run on the owner of their key only.
	Sharded bool
	// Repeatable requests may run more than once.
	Repeatable bool
	// Streamed requests have a body that can be sent only once.
	Streamed bool
	// MaxSends is the number of backend servers that the request may reach, MaxTries the
	// number of all tries.
	MaxSends, MaxTries int
	// Target is the time until which a response has its full value, Deadline when the caller
	// gives up.
	Target, Deadline time.Time
	// Work is the expected time on a backend server.
	Work time.Duration
}

// Result is a failed try.
type Result struct {
	Err *verdict.Error
	// Arrived is set if the request reached a backend server.
	Arrived bool
	// Sent is set if bytes of the request were sent to anybody, even if it did not reach a backend server.
	Sent bool
	// Candidates is the number of backend servers that were not tried yet.
	Candidates int
}

// Action is what to do after a failed try.
type Action uint8

const (
	// GiveUp ends the request with Refusal.
	GiveUp Action = iota
	// Retry tries the next backend server.
	Retry
	// RetryWithinBudget is Retry if the retry budget allows it, else GiveUp.
	RetryWithinBudget
	// AwaitOwner tries again after the owner of the key may have changed.
	AwaitOwner
	// AwaitRoutes tries again once the request has been routed by a newer desired state.
	AwaitRoutes
)

// State is the history of one request. It is not safe for concurrent use.
type State struct {
	request Request
	// Sends is the number of tries that reached a backend server, Tries that of all tries.
	Sends, Tries int
	// MayHaveRun is set once a try may have run.
	MayHaveRun bool
	last       *verdict.Error
	// roomAt is the earliest time at which a backend server that refused expects room.
	roomAt time.Time
}

// New returns the state of a request without tries.
func New(r Request) *State { return &State{request: r} }

// Failed records a failed try and returns what follows.
func (s *State) Failed(r Result, now time.Time) Action {
	exhausted := r.Err.Reason == verdict.ReasonNoOwner && s.last != nil && !s.request.Sharded
	if exhausted {
		return GiveUp
	}
	s.last = r.Err
	s.Tries++
	if r.Arrived {
		s.Sends++
		s.MayHaveRun = s.MayHaveRun || r.Err.Verdict != verdict.NotRun
	}
	if at := now.Add(r.Err.RetryAfter); r.Err.RetryAfter > 0 && (s.roomAt.IsZero() || s.request.Sharded || at.Before(s.roomAt)) {
		s.roomAt = at
	}
	switch {
	case s.request.Streamed && (r.Sent || r.Arrived):
		return GiveUp // the rest of the body may be gone
	case r.Err.Verdict == verdict.NotRun && !r.Arrived:
		return s.afterUnsent(r, now)
	case r.Err.Verdict != verdict.NotRun && !s.request.Repeatable, s.Sends >= max(s.request.MaxSends, 1):
		return GiveUp
	case s.request.Deadline.Sub(now) < s.request.Work/2:
		return GiveUp // a retry needs time on the backend server
	}
	return RetryWithinBudget
}

// afterUnsent is Failed for a try that did not reach a backend server.
func (s *State) afterUnsent(r Result, now time.Time) Action {
	if s.Tries >= s.request.MaxTries || !s.request.Target.After(now) {
		return GiveUp
	}
	switch r.Err.Reason {
	case verdict.ReasonOutdatedRoutes:
		return AwaitRoutes
	case verdict.ReasonNotOwner:
		if s.request.Sharded {
			return AwaitOwner
		}
	case verdict.ReasonBackendDown, verdict.ReasonDraining:
		if s.request.Sharded {
			return AwaitOwner
		}
		return s.next(r)
	case verdict.ReasonOverloaded, verdict.ReasonRateLimited, verdict.ReasonPeerLost, verdict.ReasonStarting:
		if !s.request.Sharded {
			return s.next(r)
		}
	}
	return GiveUp
}

func (s *State) next(r Result) Action {
	if r.Candidates == 0 {
		return GiveUp
	}
	return Retry
}

// Refusal returns the error for the caller after GiveUp. If the request did not run, it says
// when the first backend server that refused expects room.
func (s *State) Refusal(now time.Time) *verdict.Error {
	if s.last.Verdict != verdict.NotRun || s.roomAt.IsZero() {
		return s.last
	}
	return s.last.WithRetryAfter(max(s.roomAt.Sub(now), minRetryAfter))
}

// minRetryAfter is the Retry-After if there should be room already.
const minRetryAfter = 10 * time.Millisecond
