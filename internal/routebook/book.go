// Package routebook keeps the routes of the catalogue in the platform's table.
package routebook

import (
	"context"
	"errors"
	"fmt"

	"github.com/basilway/basilway/httproute"
	"github.com/basilway/basilway/metastore"
)

// Row is the key of the row that holds the routes.
const Row = "catalogue/routes"

// ErrChanged means that the routes were edited since the version that an edit is based on.
var ErrChanged = errors.New("the routes were changed meanwhile")

// Book reads and edits the routes. Edits that race are told apart by the version.
type Book struct{ table metastore.Table }

// New returns the book of a table.
func New(table metastore.Table) *Book { return &Book{table: table} }

// Get returns the routes in force; version 0 means that there are none yet.
func (b *Book) Get(ctx context.Context) (httproute.Document, error) {
	document, _, err := b.read(ctx)
	return document, err
}

func (b *Book) read(ctx context.Context) (httproute.Document, uint64, error) {
	row, err := b.table.Get(ctx, Row)
	if err != nil {
		return httproute.Document{}, 0, fmt.Errorf("routes not read: %w", err)
	}
	if row.Version == 0 {
		return httproute.Document{}, 0, nil
	}
	document, err := httproute.ParseDocument(row.Value)
	return document, row.Version, err
}

// Apply checks the document and puts it into force as the next version, which it returns.
// The document's version says what the edit is based on; 0 bases it on what is in force. A
// write whose answer is lost is read back.
func (b *Book) Apply(ctx context.Context, wanted httproute.Document) (uint64, error) {
	if _, err := wanted.Snapshot(); err != nil {
		return 0, err
	}
	current, row, err := b.read(ctx)
	if err != nil {
		return 0, err
	}
	if wanted.Version != 0 && wanted.Version != current.Version {
		return 0, fmt.Errorf("%w: version %d is in force, the edit is based on %d", ErrChanged, current.Version, wanted.Version)
	}
	wanted.Version = current.Version + 1
	value, err := wanted.Encode()
	if err != nil {
		return 0, err
	}
	err = b.table.Commit(ctx, metastore.Txn{
		Conditions: []metastore.Condition{{Key: Row, Version: row}},
		Writes:     []metastore.Write{{Key: Row, Value: value}},
	})
	switch {
	case err == nil:
		return wanted.Version, nil
	case errors.Is(err, metastore.ErrConflict):
		return 0, fmt.Errorf("%w: another edit of version %d was first", ErrChanged, current.Version)
	case errors.Is(err, metastore.ErrUnavailable):
		return 0, fmt.Errorf("routes not written: %w", err)
	}
	return wanted.Version, b.settle(ctx, value, err)
}

// settle finds out whether a write without an answer took effect.
func (b *Book) settle(ctx context.Context, value []byte, cause error) error {
	row, err := b.table.Get(ctx, Row)
	if err != nil {
		return fmt.Errorf("whether the routes were written is unknown: %w", errors.Join(cause, err))
	}
	if string(row.Value) != string(value) {
		return fmt.Errorf("routes not in force: %w", cause)
	}
	return nil
}
