package node

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/coldstate"
	"github.com/basilway/basilway/grant"
	"github.com/basilway/basilway/internal/hangup"
	"github.com/basilway/basilway/internal/httpclient"
	"github.com/basilway/basilway/quarantine"
	"github.com/basilway/basilway/verdict"
	"github.com/basilway/basilway/waitqueue"
)

const (
	// maxGrantWait bounds the wait for keys that are moving to the backend server: a
	// heartbeat interval plus the write that completes a move.
	maxGrantWait = 1200 * time.Millisecond
	// grantWaitPercent is the percentage of the time left until its target that a request may
	// wait for its key. The rest is for its work.
	grantWaitPercent = 70
	// suspectPollInterval is the interval at which a request with a strike checks whether it
	// may run. It waits while another request with a strike runs.
	suspectPollInterval = 20 * time.Millisecond
	// notReadyRetryAfter is the Retry-After while the backend server is starting, leaving or
	// down; about the time until its keys have moved.
	notReadyRetryAfter = 400 * time.Millisecond
)

// serve sends a request to the local backend server once it holds the key and has a free
// slot. The outcome includes the backend server's load.
func (b *backend) serve(ctx context.Context, t ticket, e httpclient.Exchange) outcome {
	out := b.tryServe(ctx, t, e)
	load := b.queue.load()
	if out.err != nil && out.err.Reason == verdict.ReasonRateLimited && load.coldRate > 0 {
		b.node.metrics.countColdRefusal()
	}
	out.load.known = true
	out.load.running, out.load.waiting, out.load.slots, out.load.coldRate = load.running, load.waiting, load.slots, load.coldRate
	if learned, ok := b.capacity.learned(); ok {
		out.load.slots, out.load.speed = int(learned.Limit), learned.speed()
	}
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
		b.node.pacer.remove(transfer)
		return out
	}
	length := out.resp.ContentLength
	if length >= 0 && out.resp.StatusCode < http.StatusMultipleChoices {
		b.node.sizes.observe(t.route, length)
	}
	if length >= 0 && length < largeResponse {
		b.node.pacer.remove(transfer)
		return out
	}
	if length < 0 {
		length = maxBufferedResponse
	}
	if transfer == 0 {
		transfer = b.node.pacer.add(length)
	}
	b.node.pacer.resize(transfer, length)
	out.transfer = transfer
	return out
}

// run sends the request once it has a slot of the backend server.
func (b *backend) run(ctx context.Context, t ticket, e httpclient.Exchange) outcome {
	offered := time.Now()
	b.refreshColdLimit()
	slot, refused := b.queue.acquire(ctx, t.queueItem())
	if refused != nil {
		return outcome{err: refused}
	}
	end, refused := b.beginRun(ctx, t)
	if refused != nil {
		slot.done(waitqueue.Failed)
		return outcome{err: refused}
	}
	started, expected := time.Now(), b.queue.expectedWork(t.route)
	measured := b.capacity.start(t.route)
	out := b.send(ctx, t, e, slot)
	end()
	result := queueResult(out)
	measured(result == waitqueue.Completed)
	slot.done(result)
	if out.resp != nil {
		b.observeTook(time.Since(started), expected)
		out.load.work, out.load.queued = time.Since(started), started.Sub(offered)
	}
	return out
}

// queueItem returns the request as its queue sees it.
func (t ticket) queueItem() waitqueue.Item {
	return waitqueue.Item{
		Route: t.route, Fingerprint: t.fingerprint, Nested: t.nested, Priority: t.priority, Target: t.target, Deadline: t.deadline,
	}
}

// queueResult returns the result that the queue gets for a request that had a slot.
func queueResult(out outcome) waitqueue.Result {
	switch {
	case out.resp != nil && out.resp.StatusCode < http.StatusInternalServerError:
		return waitqueue.Completed
	case out.err != nil && out.arrived && out.err.Verdict == verdict.NotRun:
		return waitqueue.Declined
	default:
		return waitqueue.Failed
	}
}

// gate returns why a request must not be sent to the backend server now, or nil. It is called
// again just before the first byte is sent.
func (b *backend) gate(t ticket) *verdict.Error {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.node.now()
	b.learnRecordedLeave()
	if err := b.zoneGate(t); err != nil {
		return err
	}
	if err := b.node.routesGate(t); err != nil {
		return err
	}
	if err := b.node.stopGate(t); err != nil {
		return err
	}
	switch {
	case b.state == BackendDown || !b.portClosedAt.IsZero():
		return verdict.New(verdict.NotRun, verdict.ReasonBackendDown, "the backend server is down").WithRetryAfter(notReadyRetryAfter)
	case !b.leaveAcked.IsZero() && now.Sub(b.leaveAcked) > b.node.config.Bounds.leaveGrace():
		return verdict.New(verdict.NotRun, verdict.ReasonDraining, "the backend server leaves").WithRetryAfter(notReadyRetryAfter)
	case !b.recordKnown():
		return verdict.New(verdict.NotRun, verdict.ReasonStarting, "it is not known yet whether the backend server leaves").WithRetryAfter(notReadyRetryAfter)
	case b.node.config.Bounds.ColdOverage > 0 && b.node.views.current().Routes == nil:
		return verdict.New(verdict.NotRun, verdict.ReasonStarting, "what the backend server takes while it is cold is not known yet").WithRetryAfter(notReadyRetryAfter)
	case b.tracker == nil && b.adoptionAllows(t):
		return nil
	case b.tracker == nil:
		return verdict.New(verdict.NotRun, verdict.ReasonStarting, "the backend server has not announced itself").WithRetryAfter(notReadyRetryAfter)
	case t.sharded && !b.tracker.Serving(t.key, now):
		return verdict.New(verdict.NotRun, verdict.ReasonNotOwner, "key %d is not granted to the backend server", t.key).WithRetryAfter(notReadyRetryAfter)
	}
	return nil
}

// awaitKey waits until gate admits the request: for the first heartbeat of the backend
// server, or for the grant of a key that moves. It returns the refusal after at most
// maxGrantWait, and at once if the backend server is down or leaving or if another instance
// owns the key.
func (b *backend) awaitKey(ctx context.Context, t ticket) *verdict.Error {
	wait := min(maxGrantWait, time.Until(t.target)*grantWaitPercent/100)
	timer := time.NewTimer(max(wait, 0))
	defer timer.Stop()
	for {
		changed := b.changed.wait()
		view, viewChanged := b.node.views.get()
		err := b.gate(t)
		if err == nil {
			return nil
		}
		if endsWait(err, t) {
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

// endsWait reports whether a refusal by gate is final: waiting for heartbeats and grants does not change it.
func endsWait(err *verdict.Error, t ticket) bool {
	switch err.Reason {
	case verdict.ReasonStarting:
		return false
	case verdict.ReasonNotOwner:
		return !t.sharded
	}
	return true
}

// beginRun records the request as running, so that it gets a strike if the backend server
// crashes. It refuses quarantined requests and makes a request with a strike wait while
// another one with a strike runs.
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
		case <-time.After(suspectPollInterval):
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
	if !b.portClosedAt.IsZero() {
		b.wake()
	}
}

// recordDisconnect remembers a request whose connection was closed, in case the backend
// server crashed.
func (b *backend) recordDisconnect(f uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for other, at := range b.disconnected {
		if now.Sub(at) >= crashWindow {
			delete(b.disconnected, other)
		}
	}
	b.disconnected[f] = now
}

// mergeStrikes adds new strikes that other nodes wrote to the store. b.mu must be held.
func (b *backend) mergeStrikes() {
	view := b.node.views.current()
	if len(view.strikes) > b.mergedStrikes {
		b.strikes.Merge(view.strikes[b.mergedStrikes:], time.Now())
		b.mergedStrikes = len(view.strikes)
	}
}

// send sends the request to the backend server and classifies the result.
func (b *backend) send(ctx context.Context, t ticket, e httpclient.Exchange, s slot) outcome {
	headers := b.node.headers
	left := time.Until(t.deadline).Milliseconds()
	if left < 1 {
		return outcome{err: verdict.New(verdict.NotRun, verdict.ReasonDeadline, "the deadline passed before the request was sent")}
	}
	owner := b.owner()
	e.Header = e.Header.Clone()
	e.Header.Set(headers.DeadlineMS, strconv.FormatInt(left, 10))
	e.Header.Set(headers.ExpectBackend, grant.IncarnationID(owner.Incarnation))
	sentAt := b.node.now()
	var refused *verdict.Error
	resp, err := b.pool.Do(ctx, e, func() error {
		if refused = b.gate(t); refused != nil {
			return refused
		}
		if hangup.CallerLeft(ctx, t.arrived) {
			refused = callerLeft()
			return refused
		}
		if refused = s.sending(); refused != nil {
			return refused
		}
		b.observeSent()
		b.node.metrics.countSent(t)
		return nil
	})
	if refused != nil {
		return outcome{err: refused}
	}
	if err != nil {
		return b.failedOutcome(ctx, t, e.ID, err)
	}
	if resp.StatusCode != http.StatusMisdirectedRequest {
		b.node.observeResponse(owner.Incarnation, e.ID, resp, sentAt)
		b.observeColdState(resp.Header, sentAt)
	}
	if resp.Header.Get(headers.NotRun) != "" || resp.StatusCode == http.StatusMisdirectedRequest {
		return b.declinedOutcome(resp)
	}
	return outcome{resp: resp, arrived: true, load: peerLoad{incarnation: owner.Incarnation}}
}

// callerLeft is the refusal of a request whose caller has left before it was sent.
func callerLeft() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonCancelled, "caller left before the request was sent")
}

// declinedOutcome returns the outcome of a response that says that the backend server did not
// run the request.
func (b *backend) declinedOutcome(resp *http.Response) outcome {
	defer resp.Body.Close()
	discardBody(resp.Body)
	reason := verdict.ReasonOverloaded
	if resp.StatusCode == http.StatusMisdirectedRequest {
		reason = verdict.ReasonNotOwner
	}
	err := verdict.New(verdict.NotRun, reason, "the backend server answered %d without running the request", resp.StatusCode)
	return outcome{err: err.WithRetryAfter(declinedRetryAfter), arrived: true}
}

// declinedRetryAfter is the Retry-After of requests that the backend server declined.
const declinedRetryAfter = 50 * time.Millisecond

// failedOutcome classifies an exchange without a response.
func (b *backend) failedOutcome(ctx context.Context, t ticket, id string, err error) outcome {
	var failure *httpclient.Error
	if !errors.As(err, &failure) {
		return outcome{err: verdict.From(err), arrived: true}
	}
	var bound *httpclient.BoundError
	if errors.As(err, &bound) {
		b.node.metrics.countResponseOverBound(bound.Bound)
		b.node.events.request("response over a bound", id, zap.String("route", t.route), zap.String("backend", b.owner().Incarnation),
			zap.String("bound", bound.Bound), zap.Int("limit", bound.Limit))
	}
	if failure.Refused || failure.Closed {
		// The backend server also closes connections over its limit; only a closed port shows
		// that it ended.
		if failure.Stage == httpclient.Sent && failure.Closed {
			b.recordDisconnect(t.fingerprint)
			b.noticeSign(coldstate.Disconnected)
		}
		if failure.Refused || b.portRefused(context.WithoutCancel(ctx)) {
			b.recordPortClosed()
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
	b.log.Debug("no response from backend server", zap.Error(err))
	return outcome{err: verdict.New(verdict.MayHaveRun, reason, "%v", failure.Err), arrived: true}
}
