package peer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/basilway/basilway/verdict"
)

// call is one request that waits for its answer. Whoever removes it from the pending
// calls of its connection completes it, so it is completed once and can be used again.
type call struct {
	out  *outFrame
	body []byte
	err  *Error
	done chan struct{}
}

var callPool = sync.Pool{New: func() any { return &call{done: make(chan struct{}, 1)} }}

func (w *call) complete(body []byte, err *Error) {
	w.body, w.err = body, err
	w.done <- struct{}{}
}

// lose completes a call whose connection was lost.
func (w *call) lose(cause error) {
	if w.out.withdraw() {
		w.complete(nil, localError(verdict.NotRun, verdict.ReasonPeerLost, "connection lost before the request was sent: %v", cause))
		return
	}
	w.complete(nil, localError(verdict.MayHaveRun, verdict.ReasonPeerLost, "connection lost: %v", cause))
}

// errDraining means that the connection takes no more calls and nothing was sent.
var errDraining = errors.New("connection takes no more calls")

// call sends a request and waits for its answer. It returns errDraining if another
// connection is to be used.
func (c *conn) call(ctx context.Context, kind uint8, body []byte) ([]byte, error) {
	id := c.nextID.Add(1)
	out, err := c.newOutFrame(&frame{Type: frameRequest, ID: id, Kind: kind, RemainingMS: remaining(ctx), Body: body})
	if err != nil {
		return nil, localError(verdict.NotRun, verdict.ReasonInvalid, "request cannot be encoded: %v", err)
	}
	w := callPool.Get().(*call)
	w.out = out
	if err := c.begin(id, w); err != nil {
		callPool.Put(w)
		if errors.Is(err, errDraining) {
			return nil, err
		}
		c.pool.counters.backpressure.Add(1)
		return nil, congested("%v", err)
	}
	var stopped *Error
	select {
	case <-w.done:
	case <-ctx.Done():
		stopped = c.abandon(ctx, id, kind, w)
		if stopped == nil {
			// The answer, or the loss of the connection, came first.
			<-w.done
		}
	}
	answer, callErr := w.body, w.err
	w.out, w.body, w.err = nil, nil, nil
	callPool.Put(w)
	c.afterCall()
	switch {
	case stopped != nil:
		return nil, stopped
	case callErr != nil:
		return nil, callErr
	}
	return answer, nil
}

// begin queues the request and registers the call under one lock, so that no call
// follows a GoAway frame.
func (c *conn) begin(id uint64, w *call) error {
	now := c.pool.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining {
		return errDraining
	}
	if len(c.pending) >= c.pool.cfg.MaxInFlight {
		return errors.New("too many calls in flight")
	}
	if err := c.push(w.out); err != nil {
		return err
	}
	if len(c.pending) == 0 {
		c.waitingSince.Store(now)
	}
	c.pending[id] = w
	c.lastUsed.Store(now)
	return nil
}

// abandon gives up a call and tells the other side if the request may have been sent. It
// returns nil if the call is completed by somebody else.
func (c *conn) abandon(ctx context.Context, id uint64, kind uint8, w *call) *Error {
	c.mu.Lock()
	_, waiting := c.pending[id]
	if waiting {
		delete(c.pending, id)
	}
	withdrawn := waiting && w.out.withdraw()
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
	// Without room for the cancellation the deadline ends the request.
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

// answer completes the call that f belongs to. Answers without a waiting call are
// dropped and counted.
func (c *conn) answer(f *frame) {
	c.mu.Lock()
	w, ok := c.pending[f.ID]
	if ok {
		delete(c.pending, f.ID)
	}
	late := !ok && c.abandoned.Remove(f.ID)
	c.mu.Unlock()
	switch {
	case ok && f.Err != nil:
		w.complete(nil, fromWire(f.Err))
	case ok:
		w.complete(f.Body, nil)
	case late:
		c.pool.counters.late.Add(1)
	case f.ID == 0 || f.ID > c.nextID.Load():
		c.pool.counters.unknown.Add(1)
	default:
		c.pool.counters.duplicate.Add(1)
	}
}

// notify queues a frame that has no answer.
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

// remaining returns the milliseconds until the deadline of ctx, 0 if it has none.
func remaining(ctx context.Context) uint32 {
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
