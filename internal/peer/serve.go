package peer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/verdict"
)

var errCallerGaveUp = errors.New("caller gave up")

// serve starts the handler of a request or notification.
func (c *conn) serve(f *frame) error {
	notify := f.Type == frameNotify
	c.mu.Lock()
	if _, active := c.inboundCancels[f.ID]; active && !notify {
		c.mu.Unlock()
		return fmt.Errorf("%w: request id %d is in use", errMalformed, f.ID)
	}
	if c.isClosed {
		c.mu.Unlock()
		return errConnClosed
	}
	if c.inbound >= c.pool.cfg.MaxInbound {
		c.mu.Unlock()
		c.refuse(f)
		return nil
	}
	c.inbound++
	ctx, cancel := c.requestContext(f)
	if !notify {
		c.inboundCancels[f.ID] = cancel
	}
	c.mu.Unlock()
	id, kind, body := f.ID, f.Kind, f.Body
	c.pool.wg.Go(func() { c.handle(ctx, cancel, notify, id, kind, body) })
	return nil
}

func (c *conn) requestContext(f *frame) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(c.ctx)
	if f.RemainingMS == 0 {
		return ctx, cancel
	}
	ctx, stop := context.WithTimeout(ctx, time.Duration(f.RemainingMS)*time.Millisecond)
	return ctx, func(cause error) {
		cancel(cause)
		stop()
	}
}

// handle runs a handler and sends its response.
func (c *conn) handle(ctx context.Context, cancel context.CancelCauseFunc, notify bool, id uint64, kind uint8, body []byte) {
	response, err := c.pool.server.run(ctx, kind, c.info, body)
	c.mu.Lock()
	if !notify {
		delete(c.inboundCancels, id)
	}
	c.mu.Unlock()
	cancel(context.Canceled)
	if !notify {
		c.sendResponse(id, kind, response, err)
	}
	c.mu.Lock()
	c.inbound--
	draining := c.draining
	c.mu.Unlock()
	if draining {
		c.finishIfDone()
	}
}

func (c *conn) sendResponse(id uint64, kind uint8, response []byte, err error) {
	f := &frame{Type: frameResponse, ID: id, Kind: kind, Body: response}
	if err != nil {
		f.Body, f.Err = nil, toWire(err)
	}
	if size := len(f.Body) + maxFrameOverhead; size > c.pool.cfg.MaxFrameBytes {
		f.Body = nil
		f.Err = toWire(verdict.New(verdict.Ran, verdict.ReasonInternal, "answer of %d bytes is too large", size))
	}
	if f.Err != nil && len(f.Err.Detail)+maxFrameOverhead+2*maxErrorMessageBytes > c.pool.cfg.MaxFrameBytes {
		f.Err.Detail = nil
	}
	if err := c.enqueueWait(f); err != nil {
		c.pool.cfg.Logger.Debug("response was not sent", zap.Uint8("kind", kind), zap.Error(err))
	}
}

// refuse rejects a request beyond MaxInbound. The reader must not wait, so if the queue
// has no room for the response, the connection is over its limits in both directions and
// is closed.
func (c *conn) refuse(f *frame) {
	c.pool.counters.refused.Add(1)
	if f.Type == frameNotify {
		return
	}
	err := c.enqueue(&frame{Type: frameResponse, ID: f.ID, Kind: f.Kind, Err: toWire(congested("too many requests from this peer"))})
	if err != nil {
		c.fail(err)
	}
}

func (c *conn) cancelInbound(id uint64) {
	c.mu.Lock()
	cancel := c.inboundCancels[id]
	c.mu.Unlock()
	if cancel != nil {
		cancel(errCallerGaveUp)
	}
}
