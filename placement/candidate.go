package placement

import "time"

// Candidate is a backend server that may run a request of a service without key
// ownership, as a node sees it.
type Candidate struct {
	// Slots is the number of requests that the backend server runs at once.
	Slots int
	// Reported is the number of running and waiting requests that the node of the backend
	// server last reported, Age ago.
	Reported int
	Age      time.Duration
	// Outstanding is the number of requests that this node sent there and that are not yet
	// answered.
	Outstanding int
	// Work is the expected time to run the request there.
	Work time.Duration
	// Overhead is the expected response time beyond Work: network latency, queueing and
	// saturated links.
	Overhead time.Duration
	// FailureRate is the fraction of recent requests that failed there, from 0 to 1.
	FailureRate float64
	// RefusalRate is the fraction of recent requests that were refused there because of
	// overload, from 0 to 1.
	RefusalRate float64
	// Near is set if the backend server is in the availability zone of this node.
	Near bool
	// Rate is the number of requests per second that the backend server takes from all nodes, as it
	// reported with Reported; 0 if it is not limited. It is limited while it is cold.
	Rate float64
}

// rateValidFor is the age up to which a reported Rate counts. A limited backend server answers few
// requests of any one node, so reports of it are old.
const rateValidFor = 2 * time.Second

// slotTime returns the time after which a slot takes the next request: the work, or the longer
// time that a limit leaves between two requests.
func (c Candidate) slotTime() time.Duration {
	if c.Rate == 0 || c.Age > rateValidFor {
		return c.Work
	}
	return max(c.Work, time.Duration(float64(max(c.Slots, 1))/c.Rate*float64(time.Second)))
}

// reportHalfLife is the age at which half of a reported backlog is assumed to be gone. It is
// of the order of the time that a request takes.
const reportHalfLife = 300 * time.Millisecond

// failurePenalty is added to the expected completion time of a candidate that fails every
// request. It keeps a backend server that fails fast from attracting requests.
const failurePenalty = 2 * time.Second

// Completion returns the expected time until the response of the candidate arrives.
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
	// A fraction of the work time for each busy slot breaks ties in favour of idle servers.
	wait += backlog / float64(max(c.Slots, 1)) / 4
	return c.Overhead + c.Work + time.Duration(wait*float64(c.slotTime())) + time.Duration(c.FailureRate*float64(failurePenalty))
}
