package memory

import (
	"slices"
	"time"

	"github.com/basilway/basilway/metastore"
)

// Rewind makes the store go back to how it was at the time from, with a new generation:
// versions after that are given out again. Rows whose keys match kept, which others write, are
// written again. It returns the number of lost transactions.
func (s *Store) Rewind(from time.Time, kept func(key string) bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.droppedUpTo
	for _, c := range s.commits {
		if !c.at.After(from) {
			last = max(last, c.version)
		}
	}
	lost := int(s.version - last)
	rewritten := map[string]metastore.Row{}
	for key, row := range s.rows {
		if row.Version > last && kept(key) {
			rewritten[key] = row
		}
	}
	s.changes = slices.DeleteFunc(s.changes, func(row metastore.Row) bool { return row.Version > last })
	s.rows = map[string]metastore.Row{}
	for _, row := range append(slices.Clone(s.base), s.changes...) {
		if row.Deleted {
			delete(s.rows, row.Key)
		} else {
			s.rows[row.Key] = row
		}
	}
	s.commits = slices.DeleteFunc(s.commits, func(c commitTime) bool { return c.version > last })
	s.version = last
	s.generation++
	for key, row := range rewritten {
		s.write(metastore.Write{Key: key, Value: row.Value})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return lost
}

// commitTime is when a version was committed.
type commitTime struct {
	version uint64
	at      time.Time
}

// write applies one write as a transaction of its own. s.mu must be held.
func (s *Store) write(w metastore.Write) {
	s.version++
	s.commits = append(s.commits, commitTime{s.version, time.Now()})
	s.rows[w.Key] = metastore.Row{Key: w.Key, Value: w.Value, Version: s.version}
	s.changes = append(s.changes, s.rows[w.Key])
}

// Generation returns how often the store went back.
func (s *Store) Generation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generation
}

// SetGeneration sets the generation of an empty store.
func (s *Store) SetGeneration(generation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generation = generation
}

// present returns a row as clients see it, with the generation in its version. s.mu must be
// held.
func (s *Store) present(row metastore.Row) metastore.Row {
	row.Value = slices.Clone(row.Value)
	if row.Version > 0 {
		row.Version = metastore.VersionOf(s.generation, row.Version)
	}
	return row
}
