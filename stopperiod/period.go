// Package stopperiod decides which requests a stopping process still takes. It reads no clock.
package stopperiod

import "time"

// Period is the time from the moment at which a process noticed that it is to stop until its last answers must be on
// their way.
type Period struct {
	Started, End time.Time
}

// Request is what the decision depends on.
type Request struct {
	// Deadline is when the caller gives up, at the latest.
	Deadline time.Time
	// Work is the expected time on the backend server; 0 if unknown.
	Work time.Duration
	// Repeatable requests may run more than once, so that a caller without an answer sends them again.
	Repeatable bool
}

// workMargin is how many times the expected work must fit into the period if the deadline does not.
const workMargin = 3

// Takes reports whether a request is sent to a backend server now. One whose deadline is within the period always is. Of
// the others only those that may be repeated are, in the first half of the period, and if they are expected to end
// within it: if one does not, its caller sends it again.
func (p Period) Takes(r Request, now time.Time) bool {
	if !r.Deadline.After(p.End) {
		return true
	}
	half := p.Started.Add(p.End.Sub(p.Started) / 2)
	return r.Repeatable && now.Before(half) && !now.Add(workMargin*r.Work).After(p.End)
}
