package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/quarantine"
	"github.com/basilway/basilway/verdict"
)

// sharedQuarantine makes the quarantine table safe for concurrent use and lets a request
// with a strike wait while another one runs.
type sharedQuarantine struct {
	mu      sync.Mutex
	table   *quarantine.Table
	changed chan struct{} // closed when a waiting request may be able to run; nil if none waits
}

func newSharedQuarantine(session cluster.Session, known []quarantine.Record, now time.Time) *sharedQuarantine {
	s := &sharedQuarantine{table: quarantine.New(quarantine.Config{Session: session})}
	s.table.Merge(known, now)
	return s
}

// check returns the error for a quarantined request, or nil.
func (s *sharedQuarantine) check(f quarantine.Fingerprint, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until, refused := s.table.Check(f, now); refused {
		return quarantine.Decision{Action: quarantine.Refuse, Until: until}.Err(now)
	}
	return nil
}

// begin counts a request that is about to be sent. If the request must wait for another
// one with a strike, begin returns a channel to wait on.
func (s *sharedQuarantine) begin(f quarantine.Fingerprint, now time.Time) (quarantine.Ticket, <-chan struct{}, error) {
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

func (s *sharedQuarantine) end(ticket quarantine.Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.End(ticket)
	s.wake()
}

// recordCrash gives a strike to the requests that were lost in a crash and returns the
// records to spread. alreadyReported means that the crash itself was recorded before.
func (s *sharedQuarantine) recordCrash(lost []quarantine.Fingerprint, alreadyReported bool, now time.Time) []quarantine.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.wake()
	if alreadyReported {
		return s.table.AlsoLost(lost, now)
	}
	return s.table.Crashed(lost, now)
}

// merge adds records of other daemons and reports whether any was new.
func (s *sharedQuarantine) merge(records []quarantine.Record, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Merge(records, now) > 0
}

// records returns all strikes.
func (s *sharedQuarantine) records(now time.Time) []quarantine.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	records, _ := s.table.Changes(0, now)
	return records
}

func (s *sharedQuarantine) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Expire(now)
}

func (s *sharedQuarantine) wake() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// waitForChange waits until changed is closed. The error has verdict NotRun, because the
// waiting request has not run.
func waitForChange(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return contextError(ctx, verdict.NotRun)
	}
}

// contextError returns the error with verdict v for a request whose context has ended.
func contextError(ctx context.Context, v verdict.Verdict) *verdict.Error {
	if ctx.Err() == context.Canceled {
		return verdict.New(v, verdict.ReasonCancelled, "the caller gave up")
	}
	return verdict.New(v, verdict.ReasonDeadline, "the deadline passed")
}
