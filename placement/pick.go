package placement

import "time"

// Candidate is a backend server that may run a request of a service without key
// ownership, as a node sees it.
type Candidate struct {
	// Slots is the number of requests it runs at once.
	Slots int
	// Reported is the number of requests that ran and waited there when its node last
	// said so, Age ago.
	Reported int
	Age      time.Duration
	// Outstanding is the number of requests that this node sent there and that are not
	// answered.
	Outstanding int
	// Work is the expected time of a request there.
	Work time.Duration
	// Distance is the cost of the way there and back, as time, with what was seen of full
	// links and waiting lines.
	Distance time.Duration
	// Failing is the share of the last requests that failed there, 0 to 1.
	Failing float64
}

// reportHalfLife is the time in which half of a reported backlog is taken to be gone; it
// is of the order of the time a request takes.
const reportHalfLife = 300 * time.Millisecond

// failurePenalty is the expected completion time of a candidate that fails every request.
// It keeps a backend server that fails fast from attracting requests.
const failurePenalty = 2 * time.Second

// Completion is the expected time until an answer of the candidate arrives.
func (c Candidate) Completion() time.Duration {
	backlog := float64(c.Reported)
	if c.Age > 0 {
		backlog /= 1 + float64(c.Age)/float64(reportHalfLife)
	}
	backlog = max(backlog, float64(c.Outstanding))
	wait := 0.0
	if over := backlog + 1 - float64(c.Slots); over > 0 {
		wait = over / float64(max(c.Slots, 1))
	}
	// A part of the work time for each busy slot breaks ties towards idle servers.
	wait += backlog / float64(max(c.Slots, 1)) / 4
	return c.Distance + c.Work + time.Duration(wait*float64(c.Work)) + time.Duration(c.Failing*float64(failurePenalty))
}
