package retry

import (
	"math/rand/v2"
	"time"

	"github.com/basilway/basilway/verdict"
)

// Policy says when a failed request is tried again. Zero fields take their defaults.
type Policy struct {
	// Base is the longest wait before the first retry; it doubles with each try.
	// The default is 25 ms. A shorter base recovers faster from a lost connection
	// and spreads the retries of many callers over less time.
	Base time.Duration
	// Cap is the longest wait before any retry without a retry-after. The default
	// is 1 s. A greater cap spreads retries further and uses up more of the deadline.
	Cap time.Duration
	// MaxAttempts limits the tries including the first. The default is 4.
	MaxAttempts int
}

// Attempt describes a request whose last try failed.
type Attempt struct {
	Err *verdict.Error
	// Idempotent says that the request may run more than once.
	Idempotent bool
	// Tries counts the tries made, including the first.
	Tries int
	// Deadline is when the caller gives up; the zero time is never.
	Deadline time.Time
}

// Refusal is why a request is not tried again.
type Refusal string

// The refusals. The empty one means that the request is tried again.
const (
	RefusalNone Refusal = ""
	// RefusalMayHaveRun protects a non-idempotent request from running twice.
	RefusalMayHaveRun Refusal = "may_have_run"
	// RefusalRan means that the request ran; another try has no use.
	RefusalRan Refusal = "ran"
	// RefusalPermanent means that another try would fail for the same reason.
	RefusalPermanent Refusal = "permanent"
	RefusalAttempts  Refusal = "attempts"
	RefusalDeadline  Refusal = "deadline"
	RefusalBudget    Refusal = "budget"
)

// Decision is the outcome of Policy.Next.
type Decision struct {
	// Retry says that the request is to be sent again After from now.
	Retry bool
	After time.Duration
	// Refusal is set if Retry is not.
	Refusal Refusal
}

// Taker is a Budget or a SharedBudget.
type Taker interface {
	TryRetry(now time.Time) bool
}

// Next decides about a failed request. The wait is drawn evenly from zero to the
// backoff ("full jitter") and comes on top of the retry-after of the error. A retry is
// taken from the budget only if it is going to be sent.
func (p Policy) Next(a Attempt, budget Taker, now time.Time, rng *rand.Rand) Decision {
	p = p.withDefaults()
	if refusal := p.refuse(a); refusal != RefusalNone {
		return Decision{Refusal: refusal}
	}
	after := a.Err.RetryAfter + time.Duration(rng.Int64N(int64(p.backoff(a.Tries))+1))
	if !a.Deadline.IsZero() && !now.Add(after).Before(a.Deadline) {
		return Decision{Refusal: RefusalDeadline}
	}
	if !budget.TryRetry(now) {
		return Decision{Refusal: RefusalBudget}
	}
	return Decision{Retry: true, After: after}
}

// refuse returns why a must not be tried again whatever the time and the budget.
func (p Policy) refuse(a Attempt) Refusal {
	switch {
	case a.Err == nil || a.Err.Verdict == verdict.Ran:
		return RefusalRan
	case a.Err.Verdict != verdict.NotRun && !a.Idempotent:
		return RefusalMayHaveRun
	case permanent(a.Err.Reason):
		return RefusalPermanent
	case a.Tries >= p.MaxAttempts:
		return RefusalAttempts
	default:
		return RefusalNone
	}
}

// backoff returns the longest wait after tries tries.
func (p Policy) backoff(tries int) time.Duration {
	d := p.Base
	for i := 1; i < tries && d < p.Cap; i++ {
		d *= 2
	}
	return min(d, p.Cap)
}

func (p Policy) withDefaults() Policy {
	if p.Base <= 0 {
		p.Base = 25 * time.Millisecond
	}
	if p.Cap <= 0 {
		p.Cap = time.Second
	}
	if p.MaxAttempts <= 0 {
		p.MaxAttempts = 4
	}
	return p
}

// permanent reports whether another try of the same request fails for the same
// reason. A quarantined request would crash a backend server again.
func permanent(r verdict.Reason) bool {
	switch r {
	case verdict.ReasonInvalid, verdict.ReasonUnknownService, verdict.ReasonUnauthorized,
		verdict.ReasonCancelled, verdict.ReasonDeadline, verdict.ReasonQuarantined,
		verdict.ReasonRepeated, verdict.ReasonIDTooOld:
		return true
	default:
		return false
	}
}
