package memory

import (
	"context"
	"strings"
	"time"

	"github.com/basilway/basilway/metastore"
)

// maxListRows limits the rows of List, which does not page.
const maxListRows = 1 << 20

// List implements metastore.WatchedTable.
func (s *Store) List(ctx context.Context, table string) (metastore.Listing, error) {
	// Rows that change meanwhile are newer than the listing, and a watch returns them again.
	s.mu.Lock()
	version := metastore.VersionOf(s.generation, s.version)
	s.mu.Unlock()
	rows, err := s.Scan(ctx, table+"/", "", maxListRows)
	if err != nil {
		return metastore.Listing{}, err
	}
	return metastore.Listing{Rows: rows, Version: version, Now: time.Since(s.started)}, nil
}

// Watch implements metastore.WatchedTable.
func (s *Store) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (metastore.Listing, error) {
	if err := s.admitRead(ctx); err != nil {
		return metastore.Listing{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		out := metastore.Listing{Version: metastore.VersionOf(s.generation, s.version), Now: time.Since(s.started)}
		for _, row := range s.changes {
			if row.Version > metastore.Sequence(after) && strings.HasPrefix(row.Key, table+"/") {
				out.Rows = append(out.Rows, s.present(row))
			}
		}
		historyLost := metastore.Sequence(after) < s.droppedUpTo || metastore.Generation(after) != s.generation && after > 0
		changed := s.changed
		s.mu.Unlock()
		if historyLost {
			return metastore.Listing{}, metastore.ErrHistoryLost
		}
		if len(out.Rows) > 0 {
			return out, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return out, nil
		case <-ctx.Done():
			return metastore.Listing{}, ctx.Err()
		}
	}
}

// DropHistory drops all changes so far, so that a watch from an earlier version fails with
// ErrHistoryLost.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.base = s.base[:0]
	for _, row := range s.rows {
		s.base = append(s.base, row)
	}
	s.changes, s.commits, s.droppedUpTo = nil, nil, s.version
}
