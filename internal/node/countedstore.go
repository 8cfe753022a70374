package node

import (
	"context"
	"strings"
	"time"

	"github.com/basilway/basilway/metastore"
)

// countedStore counts the calls to the store, each of which is priced.
type countedStore struct {
	metastore.WatchedTable
	count func(call, rows string, err error)
}

// List implements metastore.WatchedTable.
func (s countedStore) List(ctx context.Context, table string) (metastore.Listing, error) {
	listing, err := s.WatchedTable.List(ctx, table)
	s.count("list", table, err)
	return listing, err
}

// Watch implements metastore.WatchedTable.
func (s countedStore) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (metastore.Listing, error) {
	listing, err := s.WatchedTable.Watch(ctx, table, after, wait)
	s.count("watch", table, err)
	return listing, err
}

// Apply implements metastore.WatchedTable.
func (s countedStore) Apply(ctx context.Context, txn metastore.Txn) (metastore.Applied, error) {
	applied, err := s.WatchedTable.Apply(ctx, txn)
	s.count("write", rowsOfTxn(txn), err)
	return applied, err
}

// rowsOfTxn returns the kind of the first row that a transaction writes.
func rowsOfTxn(txn metastore.Txn) string {
	if len(txn.Writes) == 0 {
		return "none"
	}
	parts := strings.Split(txn.Writes[0].Key, "/")
	if parts[0] != clusterTable {
		return parts[0]
	}
	return parts[0] + "/" + parts[1]
}
