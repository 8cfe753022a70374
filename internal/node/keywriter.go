package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/keyrange"
	"github.com/basilway/basilway/metastore"
)

const (
	// keyWritePause is the pause before a write of the key table is tried again. It doubles
	// up to keyWritePauseMax while the store does not take it.
	keyWritePause    = 40 * time.Millisecond
	keyWritePauseMax = 800 * time.Millisecond
)

// errNoChange is returned by an edit that has nothing to write.
var errNoChange = errors.New("nothing to change")

// keyEdit computes the next key table of a service, and rows to write with it.
type keyEdit func(t *keyrange.Space) (*keyrange.Space, metastore.Txn, error)

// keyWriter changes key tables in the store.
type keyWriter struct {
	store metastore.WatchedTable
	views *viewStore
	log   *zap.Logger
}

// update applies edit to the newest key table and writes the result on the condition that
// the row is unchanged, until the outcome is certain, edit fails or ctx ends. The view
// shows the result when update returns.
func (w *keyWriter) update(ctx context.Context, service string, edit keyEdit) error {
	pause := keyWritePause
	for {
		err := w.try(ctx, service, edit)
		if err == nil || errors.Is(err, errNoChange) {
			return nil
		}
		if !retryableStoreError(err) {
			return err
		}
		w.log.Debug("key table not written", zap.String("service", service), zap.Error(err))
		sleep(ctx, jitter(pause))
		if !errors.Is(err, metastore.ErrConflict) {
			pause = min(2*pause, keyWritePauseMax)
		}
		if ctx.Err() != nil {
			return err
		}
		// The view must not be behind the row, or the next try fails as well, and after a
		// lost answer it must show the write.
		if listing, err := w.store.List(ctx, clusterTable); err == nil {
			w.views.replace(clusterTable, listing)
		}
	}
}

func retryableStoreError(err error) bool {
	return errors.Is(err, metastore.ErrConflict) || errors.Is(err, metastore.ErrUnavailable) || errors.Is(err, metastore.ErrUnknown)
}

func (w *keyWriter) try(ctx context.Context, service string, edit keyEdit) error {
	space, ok := w.views.current().Keys[service]
	if !ok {
		space = KeySpace{Space: keyrange.NewSpace()}
	}
	next, txn, err := edit(space.Space)
	if err != nil {
		return err
	}
	buckets := next.Changed(space.Space)
	if !ok {
		// The first write creates all rows, so that two first plans exclude each other.
		buckets = buckets[:0]
		for i := range keyrange.Buckets {
			buckets = append(buckets, i)
		}
	}
	for _, bucket := range buckets {
		value, err := next.Table(bucket).Encode()
		if err != nil {
			return fmt.Errorf("keys of %s: %w", service, err)
		}
		key := keysKey(service, bucket)
		txn.Conditions = append(txn.Conditions, metastore.Condition{Key: key, Version: space.Versions[bucket]})
		txn.Writes = append(txn.Writes, metastore.Write{Key: key, Value: value})
	}
	if len(txn.Writes) == 0 {
		return errNoChange
	}
	applied, err := w.store.Apply(ctx, txn)
	if err != nil {
		return err
	}
	rows := make([]metastore.Row, 0, len(txn.Writes))
	for _, write := range txn.Writes {
		rows = append(rows, metastore.Row{Key: write.Key, Value: write.Value, Version: applied.Version, Deleted: write.Delete})
	}
	w.views.apply(rows...)
	return nil
}
