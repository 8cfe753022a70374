package daemon

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/basilway/basilway/admission"
	"github.com/basilway/basilway/catalogue"
	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/dedupe"
	"github.com/basilway/basilway/internal/backend"
	"github.com/basilway/basilway/internal/wire"
	"github.com/basilway/basilway/ownership"
	"github.com/basilway/basilway/quarantine"
	"github.com/basilway/basilway/verdict"
)

// executor runs requests on the backend server.
type executor interface {
	// Execute sends one request. The errors are *verdict.Error.
	Execute(ctx context.Context, r backend.Request) (backend.Result, error)
}

// localServer runs requests for keys that this session owns.
type localServer struct {
	session    cluster.Session
	owner      *ownerWorker
	lease      *leaseClock
	ids        *idMemory
	quarantine *sharedQuarantine
	slots      *slots
	backend    executor
	inFlight   *inFlight
	load       *loadReporter
	// serves reports whether the backend server runs a service.
	serves func(service string) bool
}

// job is a request that was admitted by the owner worker.
type job struct {
	request  wire.Request
	entry    catalogue.Entry
	hash     uint64
	deadline time.Time
	ticket   ownership.Ticket
}

// serve runs a request whose key this session should own. ctx must have a deadline. The
// error carries a verdict.
func (s *localServer) serve(ctx context.Context, request wire.Request, entry catalogue.Entry, hash uint64) (wire.Reply, error) {
	deadline, _ := ctx.Deadline()
	ticket, err := s.owner.admit(ctx, request.Service, hash, deadline)
	if err != nil {
		return wire.Reply{}, err
	}
	j := &job{request: request, entry: entry, hash: hash, deadline: deadline, ticket: ticket}
	if request.Idempotent {
		defer s.owner.end(ticket)
		response, err := s.run(ctx, j)
		return s.reply(j, response, false), err
	}
	return s.serveOnce(ctx, j)
}

// serveOnce runs a non-idempotent request unless its id is known.
func (s *localServer) serveOnce(ctx context.Context, j *job) (wire.Reply, error) {
	id, err := dedupe.ParseID(j.request.RequestID)
	if err != nil {
		s.owner.end(j.ticket)
		return wire.Reply{}, err
	}
	decision, first := s.ids.begin(id, j.request.Service, j.hash, j.ticket.FloorMS, time.Now())
	if decision.Action == dedupe.Run {
		defer s.owner.end(j.ticket)
		return s.runOnce(ctx, j, id)
	}
	// A repeated request does no work here, so it must not keep its unit from moving.
	s.owner.end(j.ticket)
	switch decision.Action {
	case dedupe.Wait:
		response, err := first.wait(ctx)
		return s.reply(j, response, true), err
	case dedupe.Replay:
		return s.reply(j, decision.Response, true), nil
	default:
		return wire.Reply{}, decision.Err
	}
}

// runOnce runs a request whose id was recorded. The outcome is recorded even if the
// request panics, so that its repeats do not wait forever.
func (s *localServer) runOnce(ctx context.Context, j *job, id uuid.UUID) (reply wire.Reply, err error) {
	var response []byte
	err = verdict.New(verdict.MayHaveRun, verdict.ReasonInternal, "the request did not end")
	defer func() { err = s.ids.finish(id, j.request.Service, j.hash, response, err, time.Now()) }()
	response, err = s.run(ctx, j)
	return s.reply(j, response, false), err
}

// run waits for a slot and sends the request. A request with a strike releases its slot
// while it waits for another one with a strike.
func (s *localServer) run(ctx context.Context, j *job) ([]byte, error) {
	fingerprint := quarantine.NewFingerprint(j.request.Service, j.request.Method, j.request.Payload)
	for {
		slot, err := s.slots.acquire(ctx, admission.Request{
			Team: j.request.Team, Class: j.entry.Class, KeyHash: j.hash,
			Caller: j.request.Caller, Deadline: j.deadline,
		})
		if err != nil {
			return nil, err
		}
		quarantineTicket, changed, err := s.quarantine.begin(fingerprint, time.Now())
		if err == nil && changed == nil {
			return s.send(ctx, j, fingerprint, slot, quarantineTicket)
		}
		s.slots.release(slot, 0, admission.NotSent)
		if err == nil {
			err = waitForChange(ctx, changed)
		}
		if err != nil {
			return nil, err
		}
	}
}

// send runs the request on the backend server and records the outcome. The lease and the
// ownership are checked immediately before.
func (s *localServer) send(ctx context.Context, j *job, fingerprint quarantine.Fingerprint, slot admission.Ticket, quarantineTicket quarantine.Ticket) ([]byte, error) {
	begin := time.Now()
	outcome := admission.NotSent
	defer func() {
		s.quarantine.end(quarantineTicket)
		busy := time.Since(begin)
		s.slots.release(slot, busy, outcome)
		if outcome != admission.NotSent {
			s.load.record(j.ticket.Unit, j.hash, busy, outcome != admission.Completed)
		}
	}()
	ctx, cancel := s.inFlight.begin(ctx)
	defer cancel(nil)
	message := s.message(j, fingerprint, begin)
	if err := s.checkSend(j, time.Now()); err != nil {
		return nil, err
	}
	result, err := s.backend.Execute(ctx, message)
	outcome = admissionOutcome(err)
	if err != nil {
		if context.Cause(ctx) == errLeaseEnded && verdict.From(err).Verdict != verdict.NotRun {
			return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonLeaseLost, "the lease ended while the request ran")
		}
		return nil, err
	}
	return result.Payload, nil
}

func (s *localServer) checkSend(j *job, now time.Time) error {
	if !s.serves(j.request.Service) {
		return ownership.ErrBackendNotReady
	}
	if !s.lease.valid(now) {
		return ownership.ErrLeaseLost
	}
	return s.owner.gate.CheckSend(j.ticket, now)
}

func (s *localServer) message(j *job, fingerprint quarantine.Fingerprint, now time.Time) backend.Request {
	return backend.Request{
		Service: j.request.Service, Key: j.request.Key, Method: j.request.Method, Team: j.request.Team,
		RequestID: j.request.RequestID, Payload: j.request.Payload, Idempotent: j.request.Idempotent,
		Grant: backend.Grant{
			Instance: s.session.Instance, Incarnation: s.session.Incarnation, Epoch: j.ticket.Epoch,
			RangeStart: j.ticket.Unit.Start,
			NotAfter:   now.Add(min(s.lease.remaining(now), j.deadline.Sub(now))),
		},
		Fingerprint: uint64(fingerprint),
		StillOwned:  func() bool { return s.lease.valid(time.Now()) },
	}
}

func (s *localServer) reply(j *job, response []byte, repeated bool) wire.Reply {
	return wire.Reply{Payload: response, ServedBy: s.session.Instance, Epoch: j.ticket.Epoch, Repeated: repeated}
}

func admissionOutcome(err error) admission.Outcome {
	if err == nil {
		return admission.Completed
	}
	v := verdict.From(err)
	switch {
	case v.Verdict == verdict.NotRun:
		return admission.NotSent
	case v.Reason == verdict.ReasonDeadline:
		return admission.TimedOut
	case v.Reason == verdict.ReasonBackendCrashed:
		return admission.Lost
	default:
		return admission.Failed
	}
}
