package node

import (
	"time"

	"github.com/basilway/basilway/verdict"
	"github.com/basilway/basilway/waitqueue"
)

// slot is the right of one request to run on the local backend server.
type slot struct {
	queue *requestQueue
	id    waitqueue.ID
}

// done ends the request.
func (s slot) done(result waitqueue.Result) { s.queue.release(s.id, result) }

// sending is called just before the request's first byte is sent. It returns why the request must
// not be sent, or nil: it may have waited for a connection for so long that its place in the limit
// for a cold backend server has passed.
func (s slot) sending() *verdict.Error {
	s.queue.mu.Lock()
	defer s.queue.mu.Unlock()
	allowed, after := s.queue.queue.Sending(s.id, time.Now())
	if allowed {
		return nil
	}
	return coldRefusal().WithRetryAfter(after)
}

// coldRefusal is the refusal of a request beyond the limit of a cold backend server.
func coldRefusal() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonRateLimited, "the backend server is cold, and what it may get within a second is used up")
}
