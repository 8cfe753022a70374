// Package metastore defines what basilway needs from the platform: a transactional table
// and an object store. All durable data goes through these interfaces.
package metastore

import (
	"context"
	"errors"
)

// Errors of Table and ObjectStore. Implementations wrap them.
var (
	// ErrConflict means that a condition did not hold; nothing was written.
	ErrConflict = errors.New("condition failed")
	// ErrUnavailable means that the operation had no effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUnknown means that a write may have taken effect, now or later. With ErrConflict, its last try failed
	// that way, and an earlier one may have taken effect.
	ErrUnknown = errors.New("outcome of the write is unknown")
	// ErrNotFound means that an object does not exist.
	ErrNotFound = errors.New("object not found")
)

// Row is one row of the table.
type Row struct {
	Key   string
	Value []byte
	// Version increases with every write of the row; 0 if the row does not exist.
	Version uint64
	// Deleted is set in the results of a watch if the row was deleted at Version.
	Deleted bool
}

// Condition requires that row Key is at Version; 0 requires that it does not exist.
type Condition struct {
	Key     string
	Version uint64
}

// Write sets or deletes one row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Txn is applied atomically if all conditions hold, and not at all otherwise.
type Txn struct {
	Conditions []Condition
	Writes     []Write
}

// Table is a transactional table with linearizable reads and writes.
type Table interface {
	// Get returns a row, with Version 0 if it does not exist.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns at most limit rows whose keys have the prefix and sort after after, in
	// key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit returns nil, ErrConflict, ErrUnavailable or ErrUnknown. Any other error, such
	// as the context's, counts as ErrUnknown.
	Commit(ctx context.Context, txn Txn) error
}

// ObjectStore stores objects by name.
type ObjectStore interface {
	// Put creates or replaces an object.
	Put(ctx context.Context, name string, data []byte) error
	// Get returns the data of an object, or ErrNotFound if it does not exist.
	Get(ctx context.Context, name string) ([]byte, error)
	// List returns the names of the objects that have the prefix.
	List(ctx context.Context, prefix string) ([]string, error)
}
