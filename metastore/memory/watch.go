package memory

import (
	"context"
	"strings"
	"time"

	"github.com/basilway/basilway/metastore"
)

// maxListed bounds the rows of List; the stand-in does not page.
const maxListed = 1 << 20

// List implements metastore.WatchedTable.
func (s *Store) List(ctx context.Context, table string) (metastore.Listing, error) {
	rows, err := s.Scan(ctx, table+"/", "", maxListed)
	if err != nil {
		return metastore.Listing{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return metastore.Listing{Rows: rows, Version: s.version, Now: time.Since(s.started)}, nil
}

// Watch implements metastore.WatchedTable.
func (s *Store) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (metastore.Listing, error) {
	if err := s.admit(ctx, s.reads); err != nil {
		return metastore.Listing{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		out := metastore.Listing{Version: s.version, Now: time.Since(s.started)}
		for _, row := range s.changes {
			if row.Version > after && strings.HasPrefix(row.Key, table+"/") {
				out.Rows = append(out.Rows, row)
			}
		}
		lost, changed := after < s.dropped, s.changed
		s.mu.Unlock()
		if lost {
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

// DropHistory forgets all changes so far.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes, s.dropped = nil, s.version
}
