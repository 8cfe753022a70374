package metastore

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryLost means that a watch cannot resume at its version; the caller must list the
// rows again.
var ErrHistoryLost = errors.New("history of the table is gone")

// Listing is the result of a List or Watch call.
type Listing struct {
	Rows []Row
	// Version is the newest version of the store at the time of the read; a watch continues
	// from it.
	Version uint64
	// Now is the store's monotonic clock.
	Now time.Duration
}

// Applied is the result of a transaction that took effect.
type Applied struct {
	// Version is the version of the rows that were written.
	Version uint64
	// Now is the store's monotonic clock.
	Now time.Duration
}

// WatchedTable is a transactional table whose changes can be watched. The part of a key
// before the first slash is the name of the row's table. Its errors are those of Table, and
// ErrHistoryLost from Watch.
type WatchedTable interface {
	// List returns all rows of a table in key order.
	List(ctx context.Context, table string) (Listing, error)
	// Apply commits a transaction like Table.Commit.
	Apply(ctx context.Context, txn Txn) (Applied, error)
	// Watch waits at most wait until rows of a table change after a version, and returns
	// them in the order of the changes.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Listing, error)
}
