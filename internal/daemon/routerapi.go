package daemon

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	basilwayv1 "github.com/basilway/basilway/gen/basilway/v1"
	"github.com/basilway/basilway/internal/wire"
	"github.com/basilway/basilway/verdict"
)

// routerAPI implements RouterService on top of a router.
type routerAPI struct {
	router *router
}

// Call implements RouterService.
func (a *routerAPI) Call(ctx context.Context, req *connect.Request[basilwayv1.CallRequest]) (*connect.Response[basilwayv1.CallResponse], error) {
	m := req.Msg
	request := wire.Request{
		Service: m.Service, Key: m.Key, Method: m.Method, Team: m.Team, Idempotent: m.Idempotent,
		RequestID: m.RequestId, Payload: m.Payload, Caller: m.Caller,
	}
	if request.Caller == "" {
		request.Caller = callerHost(req.Peer().Addr)
	}
	outcome, err := a.router.route(ctx, request)
	if err != nil {
		return nil, callError(errorForID(err, m))
	}
	return connect.NewResponse(&basilwayv1.CallResponse{
		Payload: outcome.reply.Payload, Verdict: basilwayv1.Verdict_VERDICT_RAN,
		ServedBy: outcome.reply.ServedBy, Epoch: outcome.reply.Epoch, RequestId: outcome.requestID,
		Repeated: outcome.reply.Repeated, Forwarded: outcome.forwarded,
	}), nil
}

// errorForID turns the error of one call into one that holds for all calls with its
// request id. NotRun of a call says nothing about earlier calls unless the owner looked
// the id up. A request whose id is too old to look up did not run if this is its first call,
// because a call does not retry a request that may have run.
func errorForID(err error, m *basilwayv1.CallRequest) error {
	v := verdict.From(err)
	if m.FirstCall && v.Reason == verdict.ReasonIDTooOld {
		return verdict.New(verdict.NotRun, v.Reason,
			"the request_id was made before its key changed owner; send the request with a new one")
	}
	if m.Idempotent || m.FirstCall || v.Verdict != verdict.NotRun || v.ForID || v.Reason == verdict.ReasonInvalid {
		return err
	}
	all := *v
	all.Verdict = verdict.MayHaveRun
	all.Message += " (this call did not run; an earlier one with the same request_id may have run, unless first_call is set)"
	return &all
}

// NewRequestId implements RouterService.
func (a *routerAPI) NewRequestId(context.Context, *connect.Request[basilwayv1.NewRequestIdRequest]) (*connect.Response[basilwayv1.NewRequestIdResponse], error) {
	id, err := uuid.NewV7()
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&basilwayv1.NewRequestIdResponse{RequestId: id.String()}), nil
}

// callError converts err to a connect error with its verdict.
func callError(err error) error {
	v := verdict.From(err)
	out := connect.NewError(connectCode(v.Reason), errors.New(v.Error()))
	detail, detailErr := connect.NewErrorDetail(&basilwayv1.ErrorDetail{
		Verdict: protoVerdict(v.Verdict), Reason: string(v.Reason),
		RetryAfterMs: uint32(v.RetryAfter / time.Millisecond),
	})
	if detailErr == nil {
		out.AddDetail(detail)
	}
	return out
}

func protoVerdict(v verdict.Verdict) basilwayv1.Verdict {
	switch v {
	case verdict.NotRun:
		return basilwayv1.Verdict_VERDICT_NOT_RUN
	case verdict.Ran:
		return basilwayv1.Verdict_VERDICT_RAN
	default:
		return basilwayv1.Verdict_VERDICT_MAY_HAVE_RUN
	}
}

func connectCode(r verdict.Reason) connect.Code {
	switch r {
	case verdict.ReasonInvalid:
		return connect.CodeInvalidArgument
	case verdict.ReasonUnknownService:
		return connect.CodeNotFound
	case verdict.ReasonOverloaded, verdict.ReasonRateLimited:
		return connect.CodeResourceExhausted
	case verdict.ReasonDeadline:
		return connect.CodeDeadlineExceeded
	case verdict.ReasonCancelled:
		return connect.CodeCanceled
	case verdict.ReasonRepeated, verdict.ReasonIDTooOld:
		return connect.CodeAlreadyExists
	case verdict.ReasonQuarantined:
		return connect.CodeFailedPrecondition
	case verdict.ReasonUnauthorized:
		return connect.CodeUnauthenticated
	case verdict.ReasonBackendError, verdict.ReasonInternal:
		return connect.CodeInternal
	default:
		return connect.CodeUnavailable
	}
}
