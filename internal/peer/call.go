package peer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/basilway/basilway/verdict"
)

// pendingCall is a request that waits for its response. The goroutine that removes it
// from conn.pending completes it, so it is completed exactly once and can be reused.
type pendingCall struct {
	out  *outFrame
	body []byte
	err  *Error
	done chan struct{}
}

var callPool = sync.Pool{New: func() any { return &pendingCall{done: make(chan struct{}, 1)} }}

func (pc *pendingCall) complete(body []byte, err *Error) {
	pc.body, pc.err = body, err
	pc.done <- struct{}{}
}

// connLost completes a call whose connection was lost.
func (pc *pendingCall) connLost(cause error) {
	if pc.out.withdraw() {
		pc.complete(nil, localError(verdict.NotRun, verdict.ReasonPeerLost, "connection lost before the request was sent: %v", cause))
		return
	}
	pc.complete(nil, localError(verdict.MayHaveRun, verdict.ReasonPeerLost, "connection lost: %v", cause))
}

// errDraining means that the connection accepts no new calls and nothing was sent.
var errDraining = errors.New("connection takes no more calls")

// call sends a request and waits for its response. It returns errDraining if the caller
// must use another connection.
func (c *conn) call(ctx context.Context, kind uint8, body []byte) ([]byte, error) {
	id := c.nextID.Add(1)
	out, err := c.newOutFrame(&frame{Type: frameRequest, ID: id, Kind: kind, RemainingMS: remainingMS(ctx), Body: body})
	if err != nil {
		return nil, localError(verdict.NotRun, verdict.ReasonInvalid, "request cannot be encoded: %v", err)
	}
	pc := callPool.Get().(*pendingCall)
	pc.out = out
	if err := c.begin(id, pc); err != nil {
		callPool.Put(pc)
		if errors.Is(err, errDraining) {
			return nil, err
		}
		c.pool.counters.backpressure.Add(1)
		return nil, congested("%v", err)
	}
	var abandonErr *Error
	select {
	case <-pc.done:
	case <-ctx.Done():
		abandonErr = c.abandon(ctx, id, kind, pc)
		if abandonErr == nil {
			// The response or the loss of the connection came first.
			<-pc.done
		}
	}
	response, callErr := pc.body, pc.err
	pc.out, pc.body, pc.err = nil, nil, nil
	callPool.Put(pc)
	c.afterCall()
	switch {
	case abandonErr != nil:
		return nil, abandonErr
	case callErr != nil:
		return nil, callErr
	}
	return response, nil
}

// begin queues the request and registers the call while it holds the lock, so that no
// request follows a GoAway frame.
func (c *conn) begin(id uint64, pc *pendingCall) error {
	now := c.pool.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining {
		return errDraining
	}
	if len(c.pending) >= c.pool.cfg.MaxInFlight {
		return errors.New("too many calls in flight")
	}
	if err := c.push(pc.out); err != nil {
		return err
	}
	if len(c.pending) == 0 {
		c.waitingSince.Store(now)
	}
	c.pending[id] = pc
	c.lastUsed.Store(now)
	return nil
}

// abandon removes a call whose context has ended, and sends a cancellation if the request
// may have been sent. It returns nil if another goroutine has already taken the call to
// complete it.
func (c *conn) abandon(ctx context.Context, id uint64, kind uint8, pc *pendingCall) *Error {
	c.mu.Lock()
	_, waiting := c.pending[id]
	if waiting {
		delete(c.pending, id)
	}
	withdrawn := waiting && pc.out.withdraw()
	if waiting && !withdrawn {
		c.abandoned.Add(id, struct{}{})
	}
	c.mu.Unlock()
	if !waiting {
		return nil
	}
	if withdrawn {
		return contextError(ctx, verdict.NotRun)
	}
	// If the queue has no room for the cancellation, the deadline ends the request.
	_ = c.enqueue(&frame{Type: frameCancel, ID: id, Kind: kind})
	return contextError(ctx, verdict.MayHaveRun)
}

func (c *conn) afterCall() {
	c.mu.Lock()
	draining := c.draining
	c.mu.Unlock()
	if draining {
		c.finishIfDone()
	}
}

// handleResponse completes the call that f belongs to. Responses without a pending call
// are dropped and counted.
func (c *conn) handleResponse(f *frame) {
	c.mu.Lock()
	pc, ok := c.pending[f.ID]
	if ok {
		delete(c.pending, f.ID)
	}
	late := !ok && c.abandoned.Remove(f.ID)
	c.mu.Unlock()
	switch {
	case ok && f.Err != nil:
		pc.complete(nil, fromWire(f.Err))
	case ok:
		pc.complete(f.Body, nil)
	case late:
		c.pool.counters.late.Add(1)
	case f.ID == 0 || f.ID > c.nextID.Load():
		c.pool.counters.unknown.Add(1)
	default:
		c.pool.counters.duplicate.Add(1)
	}
}

// notify queues a frame that gets no response.
func (c *conn) notify(kind uint8, body []byte) error {
	out, err := c.newOutFrame(&frame{Type: frameNotify, Kind: kind, Body: body})
	if err != nil {
		return localError(verdict.NotRun, verdict.ReasonInvalid, "notification cannot be encoded: %v", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining {
		return errDraining
	}
	if err := c.push(out); err != nil {
		c.pool.counters.backpressure.Add(1)
		return congested("%v", err)
	}
	c.lastUsed.Store(c.pool.now())
	return nil
}

// remainingMS returns the milliseconds until the deadline of ctx, or 0 if it has none.
func remainingMS(ctx context.Context) uint32 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(toMilliseconds(time.Until(deadline)), 1)
}

func contextError(ctx context.Context, v verdict.Verdict) *Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return localError(v, verdict.ReasonDeadline, "no answer within the deadline")
	}
	return localError(v, verdict.ReasonCancelled, "the caller gave up")
}
