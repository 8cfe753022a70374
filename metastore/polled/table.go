// Package polled implements the watch of metastore.WatchedTable for a metastore.Table
// without one, by polling. It is meant for small clusters, because each watch costs a read
// per interval.
package polled

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/basilway/basilway/metastore"
)

// pageRows is the number of rows per read; the rows of a small cluster fit into one page.
const pageRows = 1000

// Table implements metastore.WatchedTable. The underlying table must take the versions of
// all rows from one counter. The monotonic clock is that of this process. It is safe for
// concurrent use.
type Table struct {
	table    metastore.Table
	interval time.Duration
	started  time.Time

	mu sync.Mutex
	// seen holds the versions of the rows at the last read, by table and key, to detect
	// deletions.
	seen map[string]map[string]uint64
}

var _ metastore.WatchedTable = (*Table)(nil)

// New returns a Table that polls at an interval while it is watched. A shorter interval
// shows changes sooner and costs more reads.
func New(table metastore.Table, interval time.Duration) *Table {
	return &Table{table: table, interval: interval, started: time.Now(), seen: map[string]map[string]uint64{}}
}

// List implements metastore.WatchedTable.
func (t *Table) List(ctx context.Context, table string) (metastore.Listing, error) {
	now := time.Since(t.started)
	rows, err := t.scan(ctx, table)
	if err != nil {
		return metastore.Listing{}, err
	}
	t.recordRows(table, rows)
	return metastore.Listing{Rows: rows, Version: newestVersion(rows), Now: now}, nil
}

// Apply implements metastore.WatchedTable. It reads the new version back; if another writer
// has changed the row since, the outcome is unknown.
func (t *Table) Apply(ctx context.Context, txn metastore.Txn) (metastore.Applied, error) {
	if err := t.table.Commit(ctx, txn); err != nil {
		return metastore.Applied{}, err
	}
	for _, w := range txn.Writes {
		if w.Delete {
			continue
		}
		row, err := t.table.Get(ctx, w.Key)
		if err != nil {
			return metastore.Applied{}, fmt.Errorf("%w: version not read back: %w", metastore.ErrUnknown, err)
		}
		if !bytes.Equal(row.Value, w.Value) {
			return metastore.Applied{}, fmt.Errorf("%w: row %s was changed after the write", metastore.ErrUnknown, w.Key)
		}
		return metastore.Applied{Version: row.Version, Now: time.Since(t.started)}, nil
	}
	return metastore.Applied{Now: time.Since(t.started)}, nil
}

// Watch implements metastore.WatchedTable. A deletion is returned with the version after
// that of the deleted row.
func (t *Table) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (metastore.Listing, error) {
	deadline := time.Now().Add(wait)
	ticker := time.NewTicker(t.interval)
	defer ticker.Stop()
	for {
		now := time.Since(t.started)
		rows, err := t.scan(ctx, table)
		if err != nil {
			return metastore.Listing{}, err
		}
		out := metastore.Listing{Version: max(after, newestVersion(rows)), Now: now}
		for _, row := range rows {
			if row.Version > after {
				out.Rows = append(out.Rows, row)
			}
		}
		out.Rows = append(out.Rows, t.recordRows(table, rows)...)
		if len(out.Rows) > 0 || !time.Now().Before(deadline) {
			return out, nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return metastore.Listing{}, ctx.Err()
		}
	}
}

func (t *Table) scan(ctx context.Context, table string) ([]metastore.Row, error) {
	var all []metastore.Row
	after := ""
	for {
		rows, err := t.table.Scan(ctx, table+"/", after, pageRows)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
		if len(rows) < pageRows {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// recordRows stores the versions of a table's rows and returns the rows that were deleted
// since the last call.
func (t *Table) recordRows(table string, rows []metastore.Row) []metastore.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	present := make(map[string]uint64, len(rows))
	for _, row := range rows {
		present[row.Key] = row.Version
	}
	var deleted []metastore.Row
	for key, version := range t.seen[table] {
		if _, ok := present[key]; !ok {
			deleted = append(deleted, metastore.Row{Key: key, Version: version + 1, Deleted: true})
		}
	}
	t.seen[table] = present
	return deleted
}

func newestVersion(rows []metastore.Row) uint64 {
	out := uint64(0)
	for _, row := range rows {
		out = max(out, row.Version)
	}
	return out
}
