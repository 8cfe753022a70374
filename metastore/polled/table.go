// Package polled follows the changes of a metastore.Table that has no watch, by reading it
// again and again. It serves small clusters; each watch costs a read at each interval.
package polled

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/basilway/basilway/metastore"
)

// pageRows is the number of rows of one read; the rows of a small cluster fit one page.
const pageRows = 1000

// Table implements metastore.WatchedTable. The table must draw the versions of all rows from
// one counter. The steady clock is that of this process. It is safe for concurrent use.
type Table struct {
	table    metastore.Table
	interval time.Duration
	started  time.Time

	mu sync.Mutex
	// seen are the versions of the rows at the last read, by table and key, to find
	// deletions.
	seen map[string]map[string]uint64
}

var _ metastore.WatchedTable = (*Table)(nil)

// New returns a Table that reads at an interval while it is watched. A shorter interval
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
	t.note(table, rows)
	return metastore.Listing{Rows: rows, Version: newest(rows), Now: now}, nil
}

// Apply implements metastore.WatchedTable. The version is read back; if another writer
// changed the row meanwhile the outcome is unknown.
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

// Watch implements metastore.WatchedTable. A deletion gets the version after that of the
// deleted row.
func (t *Table) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (metastore.Listing, error) {
	end := time.Now().Add(wait)
	ticker := time.NewTicker(t.interval)
	defer ticker.Stop()
	for {
		now := time.Since(t.started)
		rows, err := t.scan(ctx, table)
		if err != nil {
			return metastore.Listing{}, err
		}
		out := metastore.Listing{Version: max(after, newest(rows)), Now: now}
		for _, row := range rows {
			if row.Version > after {
				out.Rows = append(out.Rows, row)
			}
		}
		out.Rows = append(out.Rows, t.note(table, rows)...)
		if len(out.Rows) > 0 || !time.Now().Before(end) {
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

// note remembers the rows of a table and returns those that were deleted since.
func (t *Table) note(table string, rows []metastore.Row) []metastore.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	present := make(map[string]uint64, len(rows))
	for _, row := range rows {
		present[row.Key] = row.Version
	}
	var gone []metastore.Row
	for key, version := range t.seen[table] {
		if _, ok := present[key]; !ok {
			gone = append(gone, metastore.Row{Key: key, Version: version + 1, Deleted: true})
		}
	}
	t.seen[table] = present
	return gone
}

func newest(rows []metastore.Row) uint64 {
	out := uint64(0)
	for _, row := range rows {
		out = max(out, row.Version)
	}
	return out
}
