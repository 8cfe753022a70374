package daemon

import (
	"context"
	"errors"
	"fmt"

	"github.com/basilway/basilway/metastore"
)

// meteredTable counts the calls of a table by operation and outcome.
type meteredTable struct {
	table   metastore.Table
	metrics *metrics
}

// Get implements metastore.Table.
func (t meteredTable) Get(ctx context.Context, key string) (metastore.Row, error) {
	row, err := t.table.Get(ctx, key)
	t.metrics.storeCall("get", err)
	return row, err
}

// Scan implements metastore.Table.
func (t meteredTable) Scan(ctx context.Context, prefix, after string, limit int) ([]metastore.Row, error) {
	rows, err := t.table.Scan(ctx, prefix, after, limit)
	t.metrics.storeCall("scan", err)
	return rows, err
}

// Commit implements metastore.Table.
func (t meteredTable) Commit(ctx context.Context, txn metastore.Txn) error {
	err := t.table.Commit(ctx, txn)
	t.metrics.storeCall("commit", err)
	return err
}

func (m *metrics) storeCall(operation string, err error) {
	result := "ok"
	switch {
	case err == nil:
	case errors.Is(err, metastore.ErrConflict):
		result = "conflict"
	case errors.Is(err, metastore.ErrUnknown):
		result = "unknown"
	default:
		result = "unavailable"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("basilway_store_calls_total{operation=%q,result=%q}", operation, result)).Inc()
}
