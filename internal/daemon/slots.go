package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/basilway/basilway/admission"
	"github.com/basilway/basilway/verdict"
)

// slots makes the admission controller safe for concurrent use and wakes queued requests.
type slots struct {
	mu         sync.Mutex
	controller *admission.Controller
	waiting    map[admission.Ticket]chan *verdict.Error // a nil error starts the request
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
		return waitResult(ticket, err)
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
	return waitResult(ticket, <-wake)
}

func waitResult(ticket admission.Ticket, err *verdict.Error) (admission.Ticket, error) {
	if err != nil {
		return 0, err
	}
	return ticket, nil
}

// release ends a request that got a slot from acquire.
func (s *slots) release(ticket admission.Ticket, latency time.Duration, outcome admission.Outcome) {
	s.update(func(c *admission.Controller, now time.Time) admission.Actions {
		return c.End(ticket, latency, outcome, now)
	})
}

// update applies an event to the controller and performs the resulting actions.
func (s *slots) update(event func(*admission.Controller, time.Time) admission.Actions) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.perform(event(s.controller, time.Now()))
}

func (s *slots) stats() admission.Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.controller.Stats(time.Now())
}

// perform must be called with mu held. It does not block, because each channel has room
// for the one result of its ticket.
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
