package node

import (
	"context"
	"sync"
	"time"

	"github.com/basilway/basilway/verdict"
	"github.com/basilway/basilway/waitqueue"
)

// lane is the waiting line in front of the backend server beside the node.
type lane struct {
	mu      sync.Mutex
	queue   *waitqueue.Queue
	nextID  waitqueue.ID
	waiters map[waitqueue.ID]chan waitqueue.Decision
}

func newLane() *lane {
	return &lane{queue: waitqueue.New(waitqueue.DefaultConfig()), waiters: map[waitqueue.ID]chan waitqueue.Decision{}}
}

// enter returns when the request may be sent, with a function that ends it, or with why
// it was not sent.
func (l *lane) enter(ctx context.Context, it waitqueue.Item) (done func(waitqueue.Result), refused *verdict.Error) {
	l.mu.Lock()
	l.nextID++
	it.ID = l.nextID
	decision, others := l.queue.Offer(it, time.Now())
	var ch chan waitqueue.Decision
	if decision.Verb == waitqueue.Wait {
		ch = make(chan waitqueue.Decision, 1)
		l.waiters[it.ID] = ch
	}
	l.tell(others)
	l.mu.Unlock()
	if ch != nil {
		decision, refused = l.await(ctx, it, ch)
		if refused != nil {
			return nil, refused
		}
	}
	if decision.Verb == waitqueue.Refuse {
		err := verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "expected wait %v", decision.Expected)
		return nil, err.WithRetryAfter(decision.RetryAfter)
	}
	return func(result waitqueue.Result) { l.leave(it.ID, result) }, nil
}

func (l *lane) await(ctx context.Context, it waitqueue.Item, ch chan waitqueue.Decision) (waitqueue.Decision, *verdict.Error) {
	expiry := time.NewTimer(time.Until(it.Deadline))
	defer expiry.Stop()
	for {
		select {
		case d := <-ch:
			return d, nil
		case <-expiry.C:
			// Advance refuses the request, if it still waits.
			l.mu.Lock()
			l.tell(l.queue.Advance(time.Now()))
			l.mu.Unlock()
			expiry.Reset(time.Millisecond)
		case <-ctx.Done():
			l.mu.Lock()
			waited := l.queue.Cancel(it.ID)
			delete(l.waiters, it.ID)
			l.mu.Unlock()
			if !waited {
				// It was started meanwhile, or refused.
				l.leave(it.ID, waitqueue.Failed)
			}
			return waitqueue.Decision{}, verdict.New(verdict.NotRun, verdict.ReasonCancelled, "caller gave up while the request waited")
		}
	}
}

func (l *lane) leave(id waitqueue.ID, result waitqueue.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tell(l.queue.Done(id, result, time.Now()))
}

// tell passes decisions on to the requests that wait for them.
func (l *lane) tell(decisions []waitqueue.Decision) {
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
		l.tell(l.queue.SetSlots(slots, time.Now()))
	}
}

// laneLoad is the state of a lane.
type laneLoad struct{ running, waiting, slots int }

func (l *lane) load() laneLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	return laneLoad{l.queue.Running(), l.queue.Waiting(), l.queue.Slots()}
}

// work returns the expected time of a route on the backend server.
func (l *lane) work(route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Work(route)
}

// works returns the expected times of all routes on the backend server.
func (l *lane) works() map[string]time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Works()
}
