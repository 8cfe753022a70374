package node

import (
	"context"
	"errors"
	"time"

	"github.com/basilway/basilway/stopperiod"
	"github.com/basilway/basilway/verdict"
)

const (
	// stopAnswerReserve is how long before connections are closed the requests that still run are given up, so that
	// their callers get an answer.
	stopAnswerReserve = 200 * time.Millisecond
	// stoppingRetryAfter is the Retry-After of requests that a stopping node does not take; about the time until the
	// platform sends clients elsewhere.
	stoppingRetryAfter = time.Second
)

// errStopEnds is the cause with which requests are given up that run at the end of a stop.
var errStopEnds = errors.New("the node stops")

// beginStop records that the node stops; its last answers are sent by end.
func (n *Node) beginStop(now, end time.Time) {
	n.stopPeriod.Store(&stopperiod.Period{Started: now, End: end})
	n.stopping.Store(true)
}

// stopGate returns why a request must not be sent to a backend server by or through this node because it stops, or nil.
func (n *Node) stopGate(t ticket) *verdict.Error {
	period := n.stopPeriod.Load()
	if period == nil {
		return nil
	}
	if period.Takes(stopperiod.Request{Deadline: t.deadline, Work: n.expectedWork(t.route), Repeatable: t.kind.Repeatable()}, time.Now()) {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.ReasonStopping, "the node stops before the request would end").WithRetryAfter(stoppingRetryAfter)
}

// untilStop returns a context that ends with parent, at the deadline, or when requests are given up at the end of a
// stop, with errStopEnds as its cause.
func (n *Node) untilStop(parent context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	cause, cancelCause := context.WithCancelCause(parent)
	ctx, cancel := context.WithDeadline(cause, deadline)
	unregister := context.AfterFunc(n.ending, func() { cancelCause(errStopEnds) })
	return ctx, func() {
		unregister()
		cancel()
		cancelCause(nil)
	}
}
