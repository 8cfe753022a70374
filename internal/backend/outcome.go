package backend

import (
	"context"
	"errors"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"connectrpc.com/connect"

	basilwayv1 "github.com/basilway/basilway/gen/basilway/v1"
	"github.com/basilway/basilway/verdict"
)

// writeTracker records how far the transport has got with sending one request.
type writeTracker struct {
	owned  func() bool
	cancel context.CancelFunc
	// connected is set before any byte may be written. Its hook runs on the caller's
	// goroutine, so it has run when the call returns; the hooks of the write may not have.
	connected atomic.Bool
	written   atomic.Bool
	// lateWrite is set if the lease was not valid when the request was written.
	lateWrite atomic.Bool
}

// attach returns a context whose request updates t. The transport retries on its own only
// if nothing was written, so GetConn resets connected.
func (t *writeTracker) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { t.connected.Store(false) },
		GotConn: func(httptrace.GotConnInfo) {
			t.connected.Store(true)
			t.cancelIfLeaseEnded()
		},
		WroteRequest: func(httptrace.WroteRequestInfo) {
			t.cancelIfLeaseEnded()
			t.written.Store(true)
		},
	})
}

// cancelIfLeaseEnded cancels the request, which closes its connection, if the lease has
// ended.
func (t *writeTracker) cancelIfLeaseEnded() {
	if !t.owned() {
		t.lateWrite.Store(true)
		t.cancel()
	}
}

// leaseEnded reports whether the request may have been written without a valid lease. The
// response can arrive before the hook of the write has run; then the lease must still be
// valid now.
func (t *writeTracker) leaseEnded() bool {
	return t.lateWrite.Load() || t.connected.Load() && !t.written.Load() && !t.owned()
}

// classify returns the error for a failed request and the event that it implies, nil if
// none.
func classify(ctx context.Context, err error, t *writeTracker, processID uint64) (*verdict.Error, Event) {
	if connect.IsWireError(err) {
		return classifyErrorResponse(err), Responded{ProcessID: processID}
	}
	if ctx.Err() != nil {
		v := verdict.NotRun
		if t.connected.Load() {
			v = verdict.MayHaveRun
		}
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return verdict.New(v, verdict.ReasonDeadline, "no answer of the backend server within the deadline"), nil
		}
		return verdict.New(v, verdict.ReasonCancelled, "the caller gave up"), nil
	}
	if !t.connected.Load() {
		failure := verdict.New(verdict.NotRun, verdict.ReasonBackendDown, "no connection to the backend server: %v", err)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return failure, ConnectionRefused{ProcessID: processID}
		}
		return failure, nil
	}
	if connect.CodeOf(err) == connect.CodeDeadlineExceeded {
		// The timer of the connect client can fire before that of the context.
		return verdict.New(verdict.MayHaveRun, verdict.ReasonDeadline, "no answer of the backend server within the deadline"), nil
	}
	return verdict.New(verdict.MayHaveRun, verdict.ReasonBackendCrashed, "connection to the backend server broke: %v", err),
		ConnectionLost{ProcessID: processID}
}

// classifyErrorResponse returns the error for an error response of the server. The verdict
// is NotRun only if an error detail of the server says so. Codes that a server or its
// library returns both before and while it runs a request prove nothing, so their verdict
// is MayHaveRun.
func classifyErrorResponse(err error) *verdict.Error {
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBackendError, "%v", err)
	}
	for _, detail := range connectErr.Details() {
		value, detailErr := detail.Value()
		if detailErr != nil {
			continue
		}
		if d, ok := value.(*basilwayv1.ErrorDetail); ok {
			return fromDetail(connectErr, d)
		}
	}
	switch connectErr.Code() {
	case connect.CodeDeadlineExceeded:
		return verdict.New(verdict.MayHaveRun, verdict.ReasonDeadline, "%s", connectErr.Message())
	case connect.CodeCanceled:
		return verdict.New(verdict.MayHaveRun, verdict.ReasonCancelled, "%s", connectErr.Message())
	case connect.CodeResourceExhausted, connect.CodeUnavailable, connect.CodeUnimplemented, connect.CodeUnknown:
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBackendError, "%s: %s", connectErr.Code(), connectErr.Message())
	}
	return verdict.New(verdict.Ran, verdict.ReasonBackendError, "%s: %s", connectErr.Code(), connectErr.Message())
}

func fromDetail(connectErr *connect.Error, d *basilwayv1.ErrorDetail) *verdict.Error {
	v := verdict.MayHaveRun
	switch d.GetVerdict() {
	case basilwayv1.Verdict_VERDICT_NOT_RUN:
		v = verdict.NotRun
	case basilwayv1.Verdict_VERDICT_RAN:
		v = verdict.Ran
	}
	reason := verdict.ReasonBackendError
	if d.GetReason() != "" {
		reason = verdict.Reason(d.GetReason())
	}
	return verdict.New(v, reason, "%s: %s", connectErr.Code(), connectErr.Message()).
		WithRetryAfter(time.Duration(d.GetRetryAfterMs()) * time.Millisecond)
}
