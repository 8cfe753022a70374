package node

import (
	"context"
	"sync"
	"time"

	"github.com/basilway/basilway/verdict"
	"github.com/basilway/basilway/waitqueue"
)

// requestQueue holds the requests that wait for the local backend server. It is safe for
// concurrent use.
type requestQueue struct {
	mu      sync.Mutex
	queue   *waitqueue.Queue
	nextID  waitqueue.ID
	waiters map[waitqueue.ID]chan waitqueue.Decision
}

func newRequestQueue() *requestQueue {
	q := &requestQueue{queue: waitqueue.New(waitqueue.DefaultConfig()), waiters: map[waitqueue.ID]chan waitqueue.Decision{}}
	// An earlier process may have sent requests until this one started.
	q.queue.AssumeFullWindow(time.Now())
	return q
}

// acquire blocks until the request has a slot or is refused. The caller must call
// slot.done with the result when the request has ended.
func (q *requestQueue) acquire(ctx context.Context, it waitqueue.Item) (slot, *verdict.Error) {
	q.mu.Lock()
	q.nextID++
	it.ID = q.nextID
	decision, others := q.queue.Offer(it, time.Now())
	var ch chan waitqueue.Decision
	if decision.Action == waitqueue.Wait {
		ch = make(chan waitqueue.Decision, 1)
		q.waiters[it.ID] = ch
	}
	q.deliver(others)
	q.mu.Unlock()
	if ch != nil {
		var refused *verdict.Error
		decision, refused = q.awaitDecision(ctx, it, ch)
		if refused != nil {
			return slot{}, refused
		}
	}
	if decision.Action == waitqueue.Refuse {
		err := overloadRefusal(decision.Expected)
		switch {
		case decision.Cold:
			err = coldRefusal()
		case decision.RateLimited:
			err = verdict.New(verdict.NotRun, verdict.ReasonRateLimited, "the limit that the backend server named is used up")
		}
		return slot{}, err.WithRetryAfter(decision.RetryAfter)
	}
	return slot{q, it.ID}, nil
}

// overloadRefusal is the refusal of a request because of its expected wait.
func overloadRefusal(expected time.Duration) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "expected wait %v", expected)
}

// wouldRefuse reports whether a request would be refused now because of its expected wait, and
// returns that decision. It changes nothing.
func (q *requestQueue) wouldRefuse(it waitqueue.Item) (waitqueue.Decision, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.WouldRefuse(it, time.Now())
}

func (q *requestQueue) awaitDecision(ctx context.Context, it waitqueue.Item, ch chan waitqueue.Decision) (waitqueue.Decision, *verdict.Error) {
	expiry := time.NewTimer(time.Until(it.Deadline))
	defer expiry.Stop()
	for {
		select {
		case d := <-ch:
			return d, nil
		case <-expiry.C:
			// Advance refuses the request if it is still queued.
			q.mu.Lock()
			q.deliver(q.queue.Advance(time.Now()))
			q.mu.Unlock()
			expiry.Reset(time.Millisecond)
		case <-ctx.Done():
			q.mu.Lock()
			waited := q.queue.Cancel(it.ID)
			delete(q.waiters, it.ID)
			q.mu.Unlock()
			if !waited {
				// It got a slot in the meantime, or was refused.
				q.release(it.ID, waitqueue.Failed)
			}
			return waitqueue.Decision{}, verdict.New(verdict.NotRun, verdict.ReasonCancelled, "caller gave up while the request waited")
		}
	}
}

func (q *requestQueue) release(id waitqueue.ID, result waitqueue.Result) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliver(q.queue.Done(id, result, time.Now()))
}

// deliver sends decisions to the requests that wait for them. q.mu must be held.
func (q *requestQueue) deliver(decisions []waitqueue.Decision) {
	for _, d := range decisions {
		if ch := q.waiters[d.ID]; ch != nil {
			ch <- d
			delete(q.waiters, d.ID)
		}
	}
}

func (q *requestQueue) setSlots(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if slots != q.queue.Slots() {
		q.deliver(q.queue.SetSlots(slots, time.Now()))
	}
}

// setSpeed sets the backend server's present speed relative to its usual one, and the usual times.
func (q *requestQueue) setSpeed(speed float64, usual map[string]time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliver(q.queue.SetSpeed(speed, usual, time.Now()))
}

// setRateLimit limits the requests that are sent to the backend server per second.
func (q *requestQueue) setRateLimit(perSecond float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliver(q.queue.SetRateLimit(perSecond, time.Now()))
}

func (q *requestQueue) removeRateLimit() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.RemoveRateLimit()
}

// setColdLimit bounds the requests in any second while the backend server is cold; a bound of 0
// means no limit.
func (q *requestQueue) setColdLimit(bound float64, cold bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliver(q.queue.SetColdLimit(bound, cold, time.Now()))
}

// sentWithin returns the number of requests in the window of the limit for cold backend servers.
func (q *requestQueue) sentWithin() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.SentWithin(time.Now())
}

// queueLoad is the number of running and queued requests and of slots, and the requests per second
// that a cold backend server is sent at most (0: no limit).
type queueLoad struct {
	running, waiting, slots int
	coldRate                float64
}

func (q *requestQueue) load() queueLoad {
	q.mu.Lock()
	defer q.mu.Unlock()
	return queueLoad{q.queue.Running(), q.queue.Waiting(), q.queue.Slots(), q.queue.ColdRate()}
}

// expectedWork returns the expected time of the route's requests on the backend server.
func (q *requestQueue) expectedWork(route string) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.Work(route)
}

// workByRoute returns the expected times on the backend server of all measured routes, at
// its usual speed.
func (q *requestQueue) workByRoute() map[string]time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.WorkByRoute()
}
