package node

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/grant"
	"github.com/basilway/basilway/internal/httpclient"
	"github.com/basilway/basilway/pacing"
	"github.com/basilway/basilway/quarantine"
	"github.com/basilway/basilway/verdict"
	"github.com/basilway/basilway/waitqueue"
)

const (
	// grantWait bounds the wait for keys that are on their way to the backend server: a
	// heartbeat interval and the write that completes a move.
	grantWait = 1200 * time.Millisecond
	// grantWaitShare is the part of the time until its target, in percent, that a request
	// waits for its key; the rest is for its work.
	grantWaitShare = 70
	// suspectWait is the pause before a request with a strike is looked at again while
	// another one runs.
	suspectWait = 20 * time.Millisecond
	// notReadyRetryAfter is when callers may come back if the backend server is starting,
	// leaving or down; about the time until its keys are elsewhere.
	notReadyRetryAfter = 400 * time.Millisecond
)

// serve sends a request to the backend server, when it may hold the key and has room.
func (b *backend) serve(ctx context.Context, t ticket, e httpclient.Exchange) outcome {
	out := b.tryServe(ctx, t, e)
	load := b.lane.load()
	out.load.known = true
	out.load.running, out.load.waiting, out.load.slots = load.running, load.waiting, load.slots
	return out
}

func (b *backend) tryServe(ctx context.Context, t ticket, e httpclient.Exchange) outcome {
	if err := b.awaitKey(ctx, t); err != nil {
		return outcome{err: err}
	}
	transfer, refused := b.reserveLink(t)
	if refused != nil {
		return outcome{err: refused}
	}
	out := b.run(ctx, t, e)
	if out.err != nil {
		b.node.pacer.leave(transfer)
		return out
	}
	length := out.resp.ContentLength
	if length >= 0 && out.resp.StatusCode < http.StatusMultipleChoices {
		b.node.sizes.note(t.route, length)
	}
	if length >= 0 && length < largeAnswer {
		b.node.pacer.leave(transfer)
		return out
	}
	if length < 0 {
		length = maxHeldAnswer
	}
	if transfer == 0 {
		transfer = b.node.pacer.join(length)
	}
	b.node.pacer.resize(transfer, length)
	out.transfer = transfer
	return out
}

// reserveLink returns the turn of a large answer on the link; 0 for other requests. One
// that the link would make late is refused before it takes a slot.
func (b *backend) reserveLink(t ticket) (pacing.ID, *verdict.Error) {
	size := b.node.sizes.expected(t.route, t.kind)
	if size < largeAnswer {
		return 0, nil
	}
	wait := time.Until(t.target) - b.lane.work(t.route)
	id, backlog, ok := b.node.pacer.admit(size, wait)
	if !ok {
		err := verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "the link is taken for %v by large answers", backlog)
		return 0, err.WithRetryAfter(min(max(backlog-max(wait, 0), minLinkRetryAfter), maxLinkRetryAfter))
	}
	return id, nil
}

// minLinkRetryAfter and maxLinkRetryAfter bound the time after which a caller comes back
// that was refused because the link is full.
const (
	minLinkRetryAfter = 50 * time.Millisecond
	maxLinkRetryAfter = time.Second
)

// run sends the request when it has a slot of the backend server.
func (b *backend) run(ctx context.Context, t ticket, e httpclient.Exchange) outcome {
	done, refused := b.lane.enter(ctx, waitqueue.Item{
		Route: t.route, Nested: t.nested, Priority: t.priority, Target: t.target, Deadline: t.deadline,
	})
	if refused != nil {
		return outcome{err: refused}
	}
	end, refused := b.beginRun(ctx, t)
	if refused != nil {
		done(waitqueue.Failed)
		return outcome{err: refused}
	}
	started := time.Now()
	out := b.send(ctx, t, e)
	end()
	done(resultOf(out))
	if out.resp != nil {
		out.load.work = time.Since(started)
	}
	return out
}

// resultOf tells the line what became of a request that was sent.
func resultOf(out outcome) waitqueue.Result {
	switch {
	case out.resp != nil && out.resp.StatusCode < http.StatusInternalServerError:
		return waitqueue.Completed
	case out.err != nil && out.arrived && out.err.Verdict == verdict.NotRun:
		return waitqueue.Declined
	default:
		return waitqueue.Failed
	}
}

// gate says why a request must not be sent to the backend server now, or nil. It is
// asked again just before the first byte is sent.
func (b *backend) gate(t ticket) *verdict.Error {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := boottimeNow()
	switch {
	case b.state == BackendDown || !b.closedAt.IsZero():
		return verdict.New(verdict.NotRun, verdict.ReasonBackendDown, "the backend server is down").WithRetryAfter(notReadyRetryAfter)
	case !b.leaveAcked.IsZero() && now.Sub(b.leaveAcked) > b.node.config.Bounds.DrainTimeout*drainShare/100:
		return verdict.New(verdict.NotRun, verdict.ReasonDraining, "the backend server leaves").WithRetryAfter(notReadyRetryAfter)
	case b.holder == nil && b.adopted(t):
		return nil
	case b.holder == nil:
		return verdict.New(verdict.NotRun, verdict.ReasonStarting, "the backend server has not announced itself").WithRetryAfter(notReadyRetryAfter)
	case t.sharded && !b.holder.Serving(t.key, now):
		return verdict.New(verdict.NotRun, verdict.ReasonNotOwner, "key %d is not granted to the backend server", t.key).WithRetryAfter(notReadyRetryAfter)
	}
	return nil
}

// awaitKey waits until the backend server may run the request, as long as its keys are
// on their way to it or from it.
func (b *backend) awaitKey(ctx context.Context, t ticket) *verdict.Error {
	wait := min(grantWait, time.Until(t.target)*grantWaitShare/100)
	timer := time.NewTimer(max(wait, 0))
	defer timer.Stop()
	for {
		changed := b.changed.wait()
		view, viewChanged := b.node.views.get()
		err := b.gate(t)
		if err == nil {
			return nil
		}
		if err.Reason == verdict.ReasonBackendDown || err.Reason == verdict.ReasonDraining || !t.sharded && err.Reason != verdict.ReasonStarting {
			return err
		}
		if table, ok := view.Keys[t.service]; t.sharded && ok && table.Find(t.key).Owner.Instance != b.node.config.Instance {
			return err
		}
		select {
		case <-changed:
		case <-viewChanged:
		case <-timer.C:
			return err
		case <-ctx.Done():
			return verdict.New(verdict.NotRun, verdict.ReasonCancelled, "caller gave up while its key was on the way")
		}
	}
}

// beginRun counts the request as running for the quarantine of requests that crash
// backend servers.
func (b *backend) beginRun(ctx context.Context, t ticket) (end func(), refused *verdict.Error) {
	f := quarantine.Fingerprint(t.fingerprint)
	for {
		b.mu.Lock()
		b.mergeStrikes()
		d := b.strikes.Begin(f, time.Now())
		if d.Action == quarantine.Run {
			b.running[t.fingerprint]++
		}
		b.mu.Unlock()
		switch d.Action {
		case quarantine.Run:
			return func() { b.endRun(t.fingerprint, d.Ticket) }, nil
		case quarantine.Refuse:
			return nil, d.Err(time.Now())
		}
		select {
		case <-time.After(suspectWait):
		case <-ctx.Done():
			return nil, verdict.New(verdict.NotRun, verdict.ReasonCancelled, "caller gave up while the request waited as a suspect")
		}
	}
}

func (b *backend) endRun(f uint64, ticket quarantine.Ticket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.strikes.End(ticket)
	if b.running[f]--; b.running[f] <= 0 {
		delete(b.running, f)
	}
	if !b.closedAt.IsZero() {
		b.wake()
	}
}

// noteCut remembers a request whose connection ended, in case the backend server crashed.
func (b *backend) noteCut(f uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for other, at := range b.cut {
		if now.Sub(at) >= crashWindow {
			delete(b.cut, other)
		}
	}
	b.cut[f] = now
}

// mergeStrikes takes the strikes that other nodes wrote.
func (b *backend) mergeStrikes() {
	view := b.node.views.current()
	if len(view.strikes) > b.merged {
		b.strikes.Merge(view.strikes[b.merged:], time.Now())
		b.merged = len(view.strikes)
	}
}

// send passes the request on and classifies the result.
func (b *backend) send(ctx context.Context, t ticket, e httpclient.Exchange) outcome {
	headers := b.node.headers
	left := time.Until(t.deadline).Milliseconds()
	if left < 1 {
		return outcome{err: verdict.New(verdict.NotRun, verdict.ReasonDeadline, "the deadline passed before the request was sent")}
	}
	owner := b.owner()
	e.Header = e.Header.Clone()
	e.Header.Set(headers.DeadlineMS, strconv.FormatInt(left, 10))
	e.Header.Set(headers.ExpectBackend, grant.IncarnationID(owner.Incarnation))
	var refused *verdict.Error
	resp, err := b.pool.Do(ctx, e, func() error {
		if refused = b.gate(t); refused != nil {
			return refused
		}
		return nil
	})
	if refused != nil {
		return outcome{err: refused}
	}
	if err != nil {
		return b.failed(ctx, t, err)
	}
	if resp.Header.Get(headers.NotRun) != "" || resp.StatusCode == http.StatusMisdirectedRequest {
		return b.declined(resp)
	}
	return outcome{resp: resp, arrived: true}
}

// declined takes an answer of a backend server that says that it did not run the request.
func (b *backend) declined(resp *http.Response) outcome {
	defer resp.Body.Close()
	drain(resp.Body)
	reason := verdict.ReasonOverloaded
	if resp.StatusCode == http.StatusMisdirectedRequest {
		reason = verdict.ReasonNotOwner
	}
	err := verdict.New(verdict.NotRun, reason, "the backend server answered %d without running the request", resp.StatusCode)
	return outcome{err: err.WithRetryAfter(declinedRetryAfter), arrived: true}
}

// declinedRetryAfter is when callers may come back after the backend server declined.
const declinedRetryAfter = 50 * time.Millisecond

// failed classifies an exchange without an answer.
func (b *backend) failed(ctx context.Context, t ticket, err error) outcome {
	var failure *httpclient.Error
	if !errors.As(err, &failure) {
		return outcome{err: verdict.From(err), arrived: true}
	}
	if failure.Refused || failure.Closed {
		// The backend server closes connections over its limit too; only a closed port
		// shows that it ended.
		if failure.Stage == httpclient.Sent && failure.Closed {
			b.noteCut(t.fingerprint)
		}
		if failure.Refused || b.probe(context.WithoutCancel(ctx)) {
			b.portClosed()
		}
	}
	if failure.Stage == httpclient.NotSent {
		reason := verdict.ReasonBackendDown
		if ctx.Err() != nil {
			reason = verdict.ReasonCancelled
		}
		return outcome{err: verdict.New(verdict.NotRun, reason, "%v", failure.Err).WithRetryAfter(notReadyRetryAfter)}
	}
	reason := verdict.ReasonBackendError
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		reason = verdict.ReasonDeadline
	case errors.Is(err, context.Canceled):
		reason = verdict.ReasonCancelled
	case failure.Closed:
		reason = verdict.ReasonBackendCrashed
	}
	b.log.Debug("no answer of the backend server", zap.Error(err))
	return outcome{err: verdict.New(verdict.MayHaveRun, reason, "%v", failure.Err), arrived: true}
}
