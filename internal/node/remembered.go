package node

import (
	"go.uber.org/zap"

	"github.com/basilway/basilway/keyrange"
	"github.com/basilway/basilway/metastore"
)

// rememberedTable is a key table that was read before the store went back. The store may have
// lost it.
type rememberedTable struct {
	table *keyrange.Table
	// content identifies it like KeySpace.Contents.
	content uint64
	// lost is set if the row that was read last in the present generation lacks it.
	lost bool
}

// contentOf identifies the content of a table that was read from row.
func contentOf(t *keyrange.Table, row metastore.Row) uint64 {
	if row.Deleted {
		return 0
	}
	return metastore.VersionOf(t.Generation, metastore.Sequence(row.Version))
}

// enter starts a later generation of the store. s.mu must be held.
func (s *viewStore) enter(generation uint64) {
	if generation <= s.generation {
		return
	}
	if s.onGeneration != nil {
		s.onGeneration(generation, s.view)
	}
	s.generation = generation
	close(s.entered)
	s.entered = make(chan struct{})
}

// observeGeneration starts a later generation if version belongs to one.
func (s *viewStore) observeGeneration(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enter(metastore.Generation(version))
}

// leftGeneration returns a channel that is closed once a later generation than that of version is
// seen.
func (s *viewStore) leftGeneration(version uint64) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.generation > metastore.Generation(version) {
		left := make(chan struct{})
		close(left)
		return left
	}
	return s.entered
}

// currentGeneration returns the newest generation that was seen.
func (s *viewStore) currentGeneration() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generation
}

// remember keeps a table of an earlier generation, unless one with newer content is kept. s.mu
// must be held.
func (s *viewStore) remember(key string, table *keyrange.Table, content uint64) {
	if content > s.remembered[key].content {
		s.remembered[key] = rememberedTable{table: table, content: content}
	}
}

// restore returns the table that the view shows for a row of a generation: what is remembered,
// if the row is older than that. Once a row has been written in the present generation on the
// basis of what is remembered or newer, it is forgotten. s.mu must be held.
func (s *viewStore) restore(row metastore.Row, table *keyrange.Table, content uint64, m rememberedTable) (*keyrange.Table, uint64) {
	if s.settled != nil && s.settled() {
		delete(s.remembered, row.Key)
		return table, content
	}
	m.lost = false
	defer func() {
		if _, kept := s.remembered[row.Key]; kept {
			s.remembered[row.Key] = m
		}
	}()
	writtenNow := !row.Deleted && table.Generation == metastore.Generation(row.Version)
	switch {
	case writtenNow && table.Base >= m.content:
		delete(s.remembered, row.Key)
		return table, content
	case writtenNow:
		m.lost = true
		table = table.Join(m.table)
		table.Base = m.content
		return table, content
	case content >= m.content:
		return table, content
	}
	m.lost = true
	s.log.Debug("key table of the store is older than what is known", zap.String("row", row.Key), zap.Uint64("version", row.Version),
		zap.Uint64("content", content), zap.Uint64("known", m.content))
	return m.table, m.content
}

// lostBuckets returns the buckets of a service whose rows lack what is remembered.
func (s *viewStore) lostBuckets(service string) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []int
	for bucket := range keyrange.Buckets {
		if s.remembered[bucketKey(service, bucket)].lost {
			out = append(out, bucket)
		}
	}
	return out
}

// dropLostMembers removes the members whose rows the store lost and that did not write them
// again.
func (s *viewStore) dropLostMembers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.view.clone()
	for instance, m := range next.Members {
		if m.version == 0 {
			delete(next.Members, instance)
		}
	}
	if len(next.Members) < len(s.view.Members) {
		s.publish(next)
	}
}
