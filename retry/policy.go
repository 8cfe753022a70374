package retry

import (
	"math/rand/v2"
	"time"

	"github.com/basilway/basilway/verdict"
)

// Policy decides when a failed request is retried. Zero fields take their defaults.
type Policy struct {
	// Base is the maximum backoff before the first retry; it doubles with each try.
	// The default is 25 ms. A shorter base recovers faster from a lost connection but
	// spreads the retries of many callers over less time.
	Base time.Duration
	// Cap is the maximum backoff before any retry, not counting retry-after. The default
	// is 1 s. A greater cap spreads retries further but uses up more of the deadline.
	Cap time.Duration
	// MaxAttempts is the maximum number of tries, including the first. The default is 4.
	MaxAttempts int
}

// Attempt describes a request whose last try failed.
type Attempt struct {
	Err *verdict.Error
	// Idempotent is set if the request may run more than once.
	Idempotent bool
	// Tries is the number of tries made, including the first.
	Tries int
	// Deadline is when the caller gives up; the zero time means never.
	Deadline time.Time
}

// Refusal is the reason why a request is not retried.
type Refusal string

// The refusals. RefusalNone means that the request is retried.
const (
	RefusalNone Refusal = ""
	// RefusalMayHaveRun means that a non-idempotent request may have run, so a retry could
	// run it twice.
	RefusalMayHaveRun Refusal = "may_have_run"
	// RefusalRan means that the request ran, so a retry would be useless.
	RefusalRan Refusal = "ran"
	// RefusalPermanent means that a retry would fail for the same reason.
	RefusalPermanent Refusal = "permanent"
	RefusalAttempts  Refusal = "attempts"
	RefusalDeadline  Refusal = "deadline"
	RefusalBudget    Refusal = "budget"
)

// Decision is the outcome of Policy.Next.
type Decision struct {
	// Retry is set if the request is to be sent again. After is the wait until then.
	Retry bool
	After time.Duration
	// Refusal is the reason if Retry is not set.
	Refusal Refusal
}

// Limiter limits retries. Budget and SharedBudget implement it.
type Limiter interface {
	TryRetry(now time.Time) bool
}

// Next decides whether and when a failed request is retried. The wait is uniformly
// distributed between zero and the backoff ("full jitter") and is added to the
// retry-after of the error. A retry is taken from the budget only if it will be sent.
func (p Policy) Next(a Attempt, budget Limiter, now time.Time, rng *rand.Rand) Decision {
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

// refuse returns why a must not be retried, regardless of deadline and budget, or
// RefusalNone.
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

// backoff returns the maximum wait after the given number of tries.
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

// permanent reports whether a retry would fail for the same reason. A quarantined
// request is not retried because it could crash another backend server.
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
