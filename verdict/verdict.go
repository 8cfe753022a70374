// Package verdict defines the outcomes of requests, which tell callers whether a request may
// have run.
package verdict

// Verdict tells a caller whether a request may have run.
type Verdict uint8

// The verdicts. The zero value is MayHaveRun, so that an outcome without a verdict never
// claims that the request did or did not run.
const (
	// MayHaveRun means that the request may have run, may be running or may still run.
	MayHaveRun Verdict = iota
	// NotRun means that the request did not run and will not run.
	NotRun
	// Ran means that the request ran.
	Ran
)

// String returns the verdict as it is written in logs, metrics and error texts.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	default:
		return "may_have_run"
	}
}
