// Package memory is a stand-in for the platform that keeps rows and objects in memory,
// enforces rate limits and injects faults.
package memory

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/basilway/basilway/metastore"
)

// Store implements metastore.Table; Objects returns its metastore.ObjectStore. It is
// safe for concurrent use.
type Store struct {
	reads, writes *rate.Limiter

	mu          sync.Mutex
	rng         *rand.Rand
	rows        map[string]metastore.Row
	objects     map[string][]byte
	version     uint64
	faults      Faults
	counts      Counts
	generation  uint64
	changes     []metastore.Row
	commits     []commitTime
	base        []metastore.Row // the rows as of droppedUpTo
	droppedUpTo uint64          // version up to which changes were dropped
	changed     chan struct{}   // closed at the next commit
	started     time.Time
}

// New returns an empty store. The seed makes random faults reproducible.
func New(rates Rates, seed uint64) *Store {
	return &Store{
		reads:   newLimiter(rates.Reads),
		writes:  newLimiter(rates.Writes),
		rng:     rand.New(rand.NewPCG(seed, seed)),
		rows:    map[string]metastore.Row{},
		objects: map[string][]byte{},
		changed: make(chan struct{}),
		started: time.Now(),
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns the number of operations since the store was created.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Get implements metastore.Table.
func (s *Store) Get(ctx context.Context, key string) (metastore.Row, error) {
	if err := s.admitRead(ctx); err != nil {
		return metastore.Row{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	row := s.present(s.rows[key])
	row.Key = key
	return row, nil
}

// Scan implements metastore.Table.
func (s *Store) Scan(ctx context.Context, prefix, after string, limit int) ([]metastore.Row, error) {
	if err := s.admitRead(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	var rows []metastore.Row
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, s.present(row))
		}
	}
	slices.SortFunc(rows, func(a, b metastore.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(len(rows), limit)], nil
}

// Commit implements metastore.Table.
func (s *Store) Commit(ctx context.Context, txn metastore.Txn) error {
	_, err := s.Apply(ctx, txn)
	return err
}

// Apply implements metastore.WatchedTable.
func (s *Store) Apply(ctx context.Context, txn metastore.Txn) (metastore.Applied, error) {
	if err := checkLimits(txn); err != nil {
		return metastore.Applied{}, err
	}
	if err := s.admit(ctx, s.writes); err != nil {
		return metastore.Applied{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Reset {
		return metastore.Applied{}, fmt.Errorf("%w: connection reset", metastore.ErrUnknown)
	}
	if err := s.commit(txn); err != nil {
		return metastore.Applied{}, err
	}
	return metastore.Applied{Version: metastore.VersionOf(s.generation, s.version), Now: time.Since(s.started)}, nil
}

func (s *Store) commit(txn metastore.Txn) error {
	for _, c := range txn.Conditions {
		if have := s.present(s.rows[c.Key]).Version; have != c.Version {
			s.counts.Conflicts++
			return &metastore.ConflictError{Rows: s.conditionRows(txn), Message: fmt.Sprintf("row %s is at version %d, not %d", c.Key, have, c.Version)}
		}
	}
	s.counts.Writes++
	s.version++
	s.commits = append(s.commits, commitTime{s.version, time.Now()})
	for _, w := range txn.Writes {
		if w.Delete {
			delete(s.rows, w.Key)
			s.changes = append(s.changes, metastore.Row{Key: w.Key, Version: s.version, Deleted: true})
			continue
		}
		s.rows[w.Key] = metastore.Row{Key: w.Key, Value: slices.Clone(w.Value), Version: s.version}
		s.changes = append(s.changes, s.rows[w.Key])
	}
	close(s.changed)
	s.changed = make(chan struct{})
	if s.rng.Float64() < s.faults.LostResponses {
		return fmt.Errorf("%w: answer lost", metastore.ErrUnknown)
	}
	return nil
}

// conditionRows returns the present rows of a transaction's conditions. s.mu must be held.
func (s *Store) conditionRows(txn metastore.Txn) []metastore.Row {
	var out []metastore.Row
	for _, c := range txn.Conditions {
		if row, ok := s.rows[c.Key]; ok {
			out = append(out, s.present(row))
		}
	}
	return out
}

// admitRead is admit for operations without effect.
func (s *Store) admitRead(ctx context.Context) error {
	if err := s.admit(ctx, s.reads); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Reset {
		return fmt.Errorf("%w: connection reset", metastore.ErrUnavailable)
	}
	return nil
}

// admit waits for the rate limit and injects the faults that do not affect data.
func (s *Store) admit(ctx context.Context, limit *rate.Limiter) error {
	s.mu.Lock()
	f := s.faults
	failed := s.rng.Float64() < f.Failures
	s.mu.Unlock()
	if f.Delay > 0 {
		timer := time.NewTimer(f.Delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", metastore.ErrUnavailable, ctx.Err())
		}
	}
	if f.Down || failed {
		return fmt.Errorf("%w: stand-in refuses", metastore.ErrUnavailable)
	}
	if err := limit.Wait(ctx); err != nil {
		return fmt.Errorf("%w: rate limit: %w", metastore.ErrUnavailable, err)
	}
	return nil
}
