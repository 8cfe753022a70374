package backendsim

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"

	backendv1 "github.com/basilway/basilway/gen/basilway/backend/v1"
	basilwayv1 "github.com/basilway/basilway/gen/basilway/v1"
)

// backendService implements BackendServiceHandler.
type backendService struct{ server *Server }

// Execute runs one request. The request takes effect at most once, before its service time
// passes, so a request that is cancelled during that time has run.
func (b backendService) Execute(ctx context.Context, req *connect.Request[backendv1.ExecuteRequest]) (*connect.Response[backendv1.ExecuteResponse], error) {
	s, msg := b.server, req.Msg
	if !s.gate.wait(s.stopped) {
		panic(http.ErrAbortHandler)
	}
	if s.chance(s.Faults().Shed) {
		return nil, notRun(connect.CodeResourceExhausted, "overloaded", errors.New("request shed"))
	}
	if err := s.acquireSlot(ctx); err != nil {
		return nil, err
	}
	defer func() { <-s.slots }()
	if !s.gate.wait(s.stopped) {
		panic(http.ErrAbortHandler)
	}
	if s.checksGrants() {
		if err := s.grants.check(msg.GetKey(), msg.GetGrant(), time.Now()); err != nil {
			return nil, notRun(connect.CodeFailedPrecondition, "lease_lost", err)
		}
	}
	s.log.record(Execution{
		RequestID: msg.GetRequestId(), Service: msg.GetService(), Key: msg.GetKey(), Method: msg.GetMethod(),
		Team: msg.GetTeam(), Idempotent: msg.GetIdempotent(), Instance: msg.GetGrant().GetInstance(),
		Incarnation: msg.GetGrant().GetIncarnation(),
		Epoch:       msg.GetGrant().GetEpoch(), StartedUS: time.Now().UnixMicro(),
	})
	faults := s.Faults()
	if faults.CrashPayload != "" && faults.CrashPayload == string(msg.GetPayload()) {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	if s.chance(faults.Errors) {
		return nil, connect.NewError(connect.CodeInternal, errors.New("stand-in fails"))
	}
	payload, hold, err := s.apply(msg)
	if err != nil {
		return nil, err
	}
	if err := s.holdSlot(ctx, hold); err != nil {
		return nil, err
	}
	if !s.gate.wait(s.stopped) {
		panic(http.ErrAbortHandler)
	}
	return connect.NewResponse(&backendv1.ExecuteResponse{Payload: payload}), nil
}

// acquireSlot waits for a slot. It sheds the request if the queue is full.
func (s *Server) acquireSlot(ctx context.Context) error {
	select {
	case s.slots <- struct{}{}:
		return nil
	default:
	}
	if s.waiting.Add(1) > int64(s.cfg.MaxQueue) {
		s.waiting.Add(-1)
		return notRun(connect.CodeResourceExhausted, "overloaded", errors.New("queue is full"))
	}
	defer s.waiting.Add(-1)
	select {
	case s.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		reason := "cancelled"
		if contextCode(ctx) == connect.CodeDeadlineExceeded {
			reason = "deadline_exceeded"
		}
		return notRun(contextCode(ctx), reason, ctx.Err())
	case <-s.stopped:
		panic(http.ErrAbortHandler)
	}
}

// apply runs a method and returns its result and how long the request holds its slot.
func (s *Server) apply(msg *backendv1.ExecuteRequest) ([]byte, time.Duration, error) {
	hold := s.serviceTime(time.Now())
	switch msg.GetMethod() {
	case "get":
		return s.state.get(msg.GetKey()), hold, nil
	case "put":
		s.state.put(msg.GetKey(), msg.GetPayload())
		return nil, hold, nil
	case "add":
		payload, err := s.state.add(msg.GetKey(), msg.GetPayload())
		if err != nil {
			return nil, 0, connect.NewError(connect.CodeInvalidArgument, err)
		}
		return payload, hold, nil
	case "echo":
		return msg.GetPayload(), hold, nil
	case "sleep":
		ms, err := strconv.ParseUint(string(msg.GetPayload()), 10, 31)
		if err != nil {
			return nil, 0, connect.NewError(connect.CodeInvalidArgument, err)
		}
		return nil, time.Duration(ms) * time.Millisecond, nil
	}
	return nil, 0, connect.NewError(connect.CodeUnimplemented, fmt.Errorf("unknown method %q", msg.GetMethod()))
}

// serviceTime returns the configured service time, multiplied while the server is slow or
// in its cold start. The factor of the cold start decreases linearly from coldStartFactor
// to 1.
func (s *Server) serviceTime(now time.Time) time.Duration {
	factor := 1.0
	if slow := s.Faults().SlowFactor; slow > 0 {
		factor = slow
	}
	if age := now.Sub(s.started); age < s.cfg.ColdStart {
		factor *= coldStartFactor - (coldStartFactor-1)*float64(age)/float64(s.cfg.ColdStart)
	}
	return time.Duration(float64(s.cfg.ServiceTime) * factor)
}

// holdSlot waits until d has passed or the caller cancels; its caller has the slot.
func (s *Server) holdSlot(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return connect.NewError(contextCode(ctx), ctx.Err())
	case <-s.stopped:
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) checksGrants() bool {
	if checks := s.Faults().ChecksGrants; checks != nil {
		return *checks
	}
	return s.cfg.ChecksGrants
}

// contextCode returns the code for a request whose context has ended.
func contextCode(ctx context.Context) connect.Code {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return connect.CodeDeadlineExceeded
	}
	return connect.CodeCanceled
}

// notRun returns an error whose detail has the verdict NotRun.
func notRun(code connect.Code, reason string, err error) error {
	connectErr := connect.NewError(code, err)
	if detail, detailErr := connect.NewErrorDetail(&basilwayv1.ErrorDetail{
		Verdict: basilwayv1.Verdict_VERDICT_NOT_RUN, Reason: reason,
	}); detailErr == nil {
		connectErr.AddDetail(detail)
	}
	return connectErr
}

// GetHealth implements BackendServiceHandler.
func (b backendService) GetHealth(context.Context, *connect.Request[backendv1.GetHealthRequest]) (*connect.Response[backendv1.GetHealthResponse], error) {
	if !b.server.gate.wait(b.server.stopped) {
		panic(http.ErrAbortHandler)
	}
	healthy := true
	if override := b.server.Faults().Healthy; override != nil {
		healthy = *override
	}
	return connect.NewResponse(&backendv1.GetHealthResponse{Healthy: healthy}), nil
}

// GetLoad implements BackendServiceHandler.
func (b backendService) GetLoad(context.Context, *connect.Request[backendv1.GetLoadRequest]) (*connect.Response[backendv1.GetLoadResponse], error) {
	if !b.server.gate.wait(b.server.stopped) {
		panic(http.ErrAbortHandler)
	}
	utilization := float64(len(b.server.slots)) / float64(b.server.cfg.Slots)
	if override := b.server.Faults().Utilization; override != nil {
		utilization = *override
	}
	return connect.NewResponse(&backendv1.GetLoadResponse{Utilization: utilization}), nil
}
