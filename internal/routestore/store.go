// Package routestore stores the routes of the catalogue in the platform's table.
package routestore

import (
	"context"
	"errors"
	"fmt"

	"github.com/basilway/basilway/httproute"
	"github.com/basilway/basilway/metastore"
)

// Row is the key of the row that holds the routes.
const Row = "catalogue/routes"

// ErrChanged means that the routes have changed since the version that an edit is based on.
var ErrChanged = errors.New("the routes were changed meanwhile")

// Store reads and edits the routes. It detects concurrent edits by the version.
type Store struct{ table metastore.Table }

// New returns a Store that stores the routes in table.
func New(table metastore.Table) *Store { return &Store{table: table} }

// Get returns the current routes; version 0 means that there are none yet.
func (s *Store) Get(ctx context.Context) (httproute.Document, error) {
	document, _, err := s.read(ctx)
	return document, err
}

func (s *Store) read(ctx context.Context) (httproute.Document, uint64, error) {
	row, err := s.table.Get(ctx, Row)
	if err != nil {
		return httproute.Document{}, 0, fmt.Errorf("cannot read the routes: %w", err)
	}
	if row.Version == 0 {
		return httproute.Document{}, 0, nil
	}
	document, err := httproute.ParseDocument(row.Value)
	return document, row.Version, err
}

// Apply validates a document and stores it as the next version, which it returns. The
// document's version is the one that the edit is based on; 0 means the current one. If the
// response to the write is lost, Apply reads the row back.
func (s *Store) Apply(ctx context.Context, wanted httproute.Document) (uint64, error) {
	if _, err := wanted.Snapshot(); err != nil {
		return 0, err
	}
	current, rowVersion, err := s.read(ctx)
	if err != nil {
		return 0, err
	}
	if wanted.Version != 0 && wanted.Version != current.Version {
		return 0, fmt.Errorf("%w: the current version is %d, the edit is based on %d", ErrChanged, current.Version, wanted.Version)
	}
	wanted.Version = current.Version + 1
	value, err := wanted.Encode()
	if err != nil {
		return 0, err
	}
	err = s.table.Commit(ctx, metastore.Txn{
		Conditions: []metastore.Condition{{Key: Row, Version: rowVersion}},
		Writes:     []metastore.Write{{Key: Row, Value: value}},
	})
	switch {
	case err == nil:
		return wanted.Version, nil
	case errors.Is(err, metastore.ErrConflict):
		return 0, fmt.Errorf("%w: version %d is no longer current", ErrChanged, current.Version)
	case errors.Is(err, metastore.ErrUnavailable):
		return 0, fmt.Errorf("cannot write the routes: %w", err)
	}
	return wanted.Version, s.confirmWrite(ctx, value, err)
}

// confirmWrite checks whether a write without a response took effect.
func (s *Store) confirmWrite(ctx context.Context, value []byte, cause error) error {
	row, err := s.table.Get(ctx, Row)
	if err != nil {
		return fmt.Errorf("it is unknown whether the routes were written: %w", errors.Join(cause, err))
	}
	if string(row.Value) != string(value) {
		return fmt.Errorf("the routes did not take effect: %w", cause)
	}
	return nil
}
