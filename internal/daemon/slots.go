package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/basilway/basilway/admission"
	"github.com/basilway/basilway/verdict"
)

// slots shares the admission controller between requests and wakes the queued ones.
type slots struct {
	mu         sync.Mutex
	controller *admission.Controller
	waiting    map[admission.Ticket]chan *verdict.Error // nil error: start now
}

func newSlots(config admission.Config) *slots {
	return &slots{controller: admission.New(config), waiting: map[admission.Ticket]chan *verdict.Error{}}
}

// acquire waits for a slot. The error has verdict NotRun.
func (s *slots) acquire(ctx context.Context, r admission.Request) (admission.Ticket, error) {
	s.mu.Lock()
	decision, actions := s.controller.Begin(r, time.Now())
	var wake chan *verdict.Error
	if decision.Kind == admission.Queued {
		wake = make(chan *verdict.Error, 1)
		s.waiting[decision.Ticket] = wake
	}
	s.perform(actions)
	s.mu.Unlock()
	switch decision.Kind {
	case admission.Run:
		return decision.Ticket, nil
	case admission.Queued:
		return s.wait(ctx, decision.Ticket, wake)
	default:
		return 0, decision.Err
	}
}

func (s *slots) wait(ctx context.Context, ticket admission.Ticket, wake chan *verdict.Error) (admission.Ticket, error) {
	select {
	case err := <-wake:
		return started(ticket, err)
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	cancelled, actions := s.controller.Cancel(ticket, time.Now())
	delete(s.waiting, ticket)
	s.perform(actions)
	if cancelled {
		return 0, contextError(ctx, verdict.NotRun)
	}
	return started(ticket, <-wake)
}

func started(ticket admission.Ticket, err *verdict.Error) (admission.Ticket, error) {
	if err != nil {
		return 0, err
	}
	return ticket, nil
}

// release ends a request that acquire let run.
func (s *slots) release(ticket admission.Ticket, latency time.Duration, outcome admission.Outcome) {
	s.change(func(c *admission.Controller, now time.Time) admission.Actions {
		return c.End(ticket, latency, outcome, now)
	})
}

// change passes an event to the controller and does what it says.
func (s *slots) change(event func(*admission.Controller, time.Time) admission.Actions) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.perform(event(s.controller, time.Now()))
}

func (s *slots) stats() admission.Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.controller.Stats(time.Now())
}

// perform needs the lock. The channels have room for the one result of each ticket.
func (s *slots) perform(actions admission.Actions) {
	for _, ticket := range actions.Start {
		s.resolve(ticket, nil)
	}
	for _, rejection := range actions.Reject {
		s.resolve(rejection.Ticket, rejection.Err)
	}
}

func (s *slots) resolve(ticket admission.Ticket, err *verdict.Error) {
	if wake := s.waiting[ticket]; wake != nil {
		delete(s.waiting, ticket)
		wake <- err
	}
}
