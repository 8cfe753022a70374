package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/basilway/basilway/dedupe"
	"github.com/basilway/basilway/verdict"
)

// idMemory makes the memory of request ids safe for concurrent use and lets a repeated
// request wait for the result of the one in flight.
type idMemory struct {
	mu      sync.Mutex
	memory  *dedupe.Memory
	results map[resultKey]*result
}

type resultKey struct {
	id   uuid.UUID
	hash uint64
}

// result is the outcome of a request in flight. The fields are set before done is
// closed and not changed afterwards.
type result struct {
	done     chan struct{}
	response []byte
	err      error
}

func newIDMemory(config dedupe.Config) *idMemory {
	return &idMemory{memory: dedupe.New(config), results: map[resultKey]*result{}}
}

// begin decides about a request with an id; see dedupe.Memory.Begin. If the action is
// dedupe.Wait, it returns the result to wait for.
func (m *idMemory) begin(id uuid.UUID, service string, hash uint64, floorMS int64, now time.Time) (dedupe.Decision, *result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	decision := m.memory.Begin(id, service, hash, floorMS, now)
	key := resultKey{id: id, hash: hash}
	switch decision.Action {
	case dedupe.Run:
		m.results[key] = &result{done: make(chan struct{})}
	case dedupe.Wait:
		return decision, m.results[key]
	}
	return decision, nil
}

// finish records the outcome of a request for which begin returned dedupe.Run, wakes its
// repeats and returns the error for the caller. An error with verdict NotRun gets ForID
// set, unless a handover that arrived meanwhile says that the id may have run.
func (m *idMemory) finish(id uuid.UUID, service string, hash uint64, response []byte, err error, now time.Time) error {
	outcome := verdict.Ran
	if err != nil {
		outcome = verdict.From(err).Verdict
		response = nil
	} else if response == nil {
		response = []byte{} // nil means that there is no response to keep
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.memory.Finish(id, service, hash, outcome, response, now)
	if outcome == verdict.NotRun && !m.memory.Known(id, service, hash) {
		forID := *verdict.From(err)
		forID.ForID = true
		err = &forID
	}
	key := resultKey{id: id, hash: hash}
	if r := m.results[key]; r != nil {
		r.response, r.err = response, err
		close(r.done)
		delete(m.results, key)
	}
	return err
}

// wait returns the result of the same request in flight. If ctx ends first, the
// request may have run.
func (r *result) wait(ctx context.Context) ([]byte, error) {
	if r == nil {
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonRepeated, "the same request is in flight")
	}
	select {
	case <-r.done:
		return r.response, r.err
	case <-ctx.Done():
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonDeadline,
			"the same request is in flight and has not ended in time")
	}
}

// with calls fn with exclusive access to the memory.
func (m *idMemory) with(fn func(*dedupe.Memory)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	fn(m.memory)
}
