package node

import (
	"context"
	"sync"
	"time"

	"github.com/basilway/basilway/verdict"
	"github.com/basilway/basilway/waitqueue"
)

// lane is the request queue in front of the local backend server. It is safe for concurrent
// use.
type lane struct {
	mu      sync.Mutex
	queue   *waitqueue.Queue
	nextID  waitqueue.ID
	waiters map[waitqueue.ID]chan waitqueue.Decision
}

func newLane() *lane {
	return &lane{queue: waitqueue.New(waitqueue.DefaultConfig()), waiters: map[waitqueue.ID]chan waitqueue.Decision{}}
}

// acquire blocks until the request has a slot or is refused. The caller must call done with
// the result when the request has ended.
func (l *lane) acquire(ctx context.Context, it waitqueue.Item) (done func(waitqueue.Result), refused *verdict.Error) {
	l.mu.Lock()
	l.nextID++
	it.ID = l.nextID
	decision, others := l.queue.Offer(it, time.Now())
	var ch chan waitqueue.Decision
	if decision.Verb == waitqueue.Wait {
		ch = make(chan waitqueue.Decision, 1)
		l.waiters[it.ID] = ch
	}
	l.deliver(others)
	l.mu.Unlock()
	if ch != nil {
		decision, refused = l.awaitDecision(ctx, it, ch)
		if refused != nil {
			return nil, refused
		}
	}
	if decision.Verb == waitqueue.Refuse {
		err := verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "expected wait %v", decision.Expected)
		return nil, err.WithRetryAfter(decision.RetryAfter)
	}
	return func(result waitqueue.Result) { l.release(it.ID, result) }, nil
}

func (l *lane) awaitDecision(ctx context.Context, it waitqueue.Item, ch chan waitqueue.Decision) (waitqueue.Decision, *verdict.Error) {
	expiry := time.NewTimer(time.Until(it.Deadline))
	defer expiry.Stop()
	for {
		select {
		case d := <-ch:
			return d, nil
		case <-expiry.C:
			// Advance refuses the request if it is still queued.
			l.mu.Lock()
			l.deliver(l.queue.Advance(time.Now()))
			l.mu.Unlock()
			expiry.Reset(time.Millisecond)
		case <-ctx.Done():
			l.mu.Lock()
			waited := l.queue.Cancel(it.ID)
			delete(l.waiters, it.ID)
			l.mu.Unlock()
			if !waited {
				// It got a slot in the meantime, or was refused.
				l.release(it.ID, waitqueue.Failed)
			}
			return waitqueue.Decision{}, verdict.New(verdict.NotRun, verdict.ReasonCancelled, "caller gave up while the request waited")
		}
	}
}

func (l *lane) release(id waitqueue.ID, result waitqueue.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deliver(l.queue.Done(id, result, time.Now()))
}

// deliver sends decisions to the requests that wait for them. l.mu must be held.
func (l *lane) deliver(decisions []waitqueue.Decision) {
	for _, d := range decisions {
		if ch := l.waiters[d.ID]; ch != nil {
			ch <- d
			delete(l.waiters, d.ID)
		}
	}
}

func (l *lane) setSlots(slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slots != l.queue.Slots() {
		l.deliver(l.queue.SetSlots(slots, time.Now()))
	}
}

// laneLoad is the number of running and queued requests and of slots.
type laneLoad struct{ running, waiting, slots int }

func (l *lane) load() laneLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	return laneLoad{l.queue.Running(), l.queue.Waiting(), l.queue.Slots()}
}

// expectedWork returns the expected time of the route's requests on the backend server.
func (l *lane) expectedWork(route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Work(route)
}

// works returns the expected times on the backend server of all measured routes.
func (l *lane) works() map[string]time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Works()
}
