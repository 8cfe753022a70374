package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/quarantine"
	"github.com/basilway/basilway/verdict"
)

// suspects shares the quarantine table between requests and lets a request with a
// strike wait until no other one runs.
type suspects struct {
	mu      sync.Mutex
	table   *quarantine.Table
	changed chan struct{} // closed when a waiting request may be able to run; nil if none waits
}

func newSuspects(session cluster.Session, known []quarantine.Record, now time.Time) *suspects {
	s := &suspects{table: quarantine.New(quarantine.Config{Session: session})}
	s.table.Merge(known, now)
	return s
}

// check returns the error for a quarantined request, or nil.
func (s *suspects) check(f quarantine.Fingerprint, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until, refused := s.table.Check(f, now); refused {
		return quarantine.Decision{Action: quarantine.Refuse, Until: until}.Err(now)
	}
	return nil
}

// begin counts a request that is about to be sent. It returns a channel to wait on if
// another suspect runs.
func (s *suspects) begin(f quarantine.Fingerprint, now time.Time) (quarantine.Ticket, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	decision := s.table.Begin(f, now)
	switch decision.Action {
	case quarantine.Refuse:
		return quarantine.Ticket{}, nil, decision.Err(now)
	case quarantine.Wait:
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		return quarantine.Ticket{}, s.changed, nil
	default:
		return decision.Ticket, nil, nil
	}
}

func (s *suspects) end(ticket quarantine.Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.End(ticket)
	s.wake()
}

// crashed gives a strike to the requests that a crash ended and returns the records to
// spread. later says that the crash was reported before.
func (s *suspects) crashed(lost []quarantine.Fingerprint, later bool, now time.Time) []quarantine.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.wake()
	if later {
		return s.table.AlsoLost(lost, now)
	}
	return s.table.Crashed(lost, now)
}

// merge adds records of other daemons and reports whether any was new.
func (s *suspects) merge(records []quarantine.Record, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Merge(records, now) > 0
}

// records returns all strikes.
func (s *suspects) records(now time.Time) []quarantine.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	records, _ := s.table.Changes(0, now)
	return records
}

func (s *suspects) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Expire(now)
}

func (s *suspects) wake() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// waitForChange waits until changed is closed. The request that waits has not run.
func waitForChange(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return contextError(ctx, verdict.NotRun)
	}
}

// contextError says why a request ended with its context.
func contextError(ctx context.Context, v verdict.Verdict) *verdict.Error {
	if ctx.Err() == context.Canceled {
		return verdict.New(v, verdict.ReasonCancelled, "the caller gave up")
	}
	return verdict.New(v, verdict.ReasonDeadline, "the deadline passed")
}
