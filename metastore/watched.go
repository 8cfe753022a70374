package metastore

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryLost means that a watch cannot continue at its version; list the rows again.
var ErrHistoryLost = errors.New("history of the table is gone")

// Listing is the answer of a read of many rows.
type Listing struct {
	Rows []Row
	// Version is the newest version of the store at the read; a watch continues there.
	Version uint64
	// Now is the store's steady clock.
	Now time.Duration
}

// Applied is the answer to a transaction that took effect.
type Applied struct {
	// Version is the version of the rows that were written.
	Version uint64
	// Now is the store's steady clock.
	Now time.Duration
}

// WatchedTable is a transactional table whose changes can be followed. The part of a key
// before the first slash names the table of the row. Its errors are those of Table, and
// ErrHistoryLost of Watch.
type WatchedTable interface {
	// List returns all rows of a table in the order of their keys.
	List(ctx context.Context, table string) (Listing, error)
	// Apply commits a transaction as Table.Commit does.
	Apply(ctx context.Context, txn Txn) (Applied, error)
	// Watch waits until rows of a table are changed after a version, at most wait, and
	// returns them in the order of the changes.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Listing, error)
}
