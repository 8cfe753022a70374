package node

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/keyrange"
	"github.com/basilway/basilway/metastore"
)

const (
	// keyWriteBackoffMin is the pause before a write of the key table is tried again. It
	// doubles up to keyWriteBackoffMax while the store does not answer; conflicts do not
	// increase it.
	keyWriteBackoffMin = 40 * time.Millisecond
	keyWriteBackoffMax = 800 * time.Millisecond
)

// errNoChange is returned by a keyEdit that has nothing to write.
var errNoChange = errors.New("nothing to change")

// keyEdit computes the next key table of a service, and further conditions and writes for
// the same transaction.
type keyEdit func(t *keyrange.Space) (*keyrange.Space, metastore.Txn, error)

// keyUpdate is a change of a key table that is tried until its outcome is certain.
type keyUpdate struct {
	service string
	// edit is called before each try.
	edit keyEdit
	// tried, if not nil, gets the outcome of each try; errNoChange if there was nothing to write.
	tried func(err error)
}

// keyWriter updates key tables in the store by compare-and-set.
type keyWriter struct {
	store metastore.WatchedTable
	views *viewStore
	lease *leaseKeeper
	log   *zap.Logger

	// writing has room for one element, which is in it during a write, so that the writes of one
	// node do not conflict.
	writing chan struct{}
}

func newKeyWriter(store metastore.WatchedTable, views *viewStore, lease *leaseKeeper, log *zap.Logger) *keyWriter {
	return &keyWriter{store: store, views: views, lease: lease, log: log, writing: make(chan struct{}, 1)}
}

// update applies edit to the newest known key table and writes the result on the condition
// that the rows are unchanged. It retries until the outcome is certain, edit fails or ctx
// ends. The view shows the result when update returns nil.
func (w *keyWriter) update(ctx context.Context, service string, edit keyEdit) error {
	return w.perform(ctx, keyUpdate{service: service, edit: edit})
}

// perform is update for a caller that has to know the outcome of each try.
func (w *keyWriter) perform(ctx context.Context, u keyUpdate) error {
	backoff := keyWriteBackoffMin
	for {
		err := w.try(ctx, u.service, u.edit)
		if u.tried != nil {
			u.tried(err)
		}
		if err == nil || errors.Is(err, errNoChange) {
			return nil
		}
		if !retryableStoreError(err) {
			return err
		}
		w.log.Debug("key table not written", zap.String("service", u.service), zap.Error(err))
		refreshed := w.views.apply(metastore.ConflictRows(err)...)
		refreshed = w.lease.observe(metastore.ConflictRows(err)) || refreshed
		sleep(ctx, jitter(backoff))
		if !errors.Is(err, metastore.ErrConflict) {
			backoff = min(2*backoff, keyWriteBackoffMax)
		}
		if ctx.Err() != nil {
			return err
		}
		if refreshed {
			continue
		}
		// Refresh the view: with an old row the next attempt conflicts again, and after a lost
		// response the view must show whether the write took effect.
		if listing, err := w.store.List(ctx, clusterTable); err == nil {
			w.views.replace(clusterTable, listing)
		}
	}
}

func retryableStoreError(err error) bool {
	return errors.Is(err, metastore.ErrConflict) || errors.Is(err, metastore.ErrUnavailable) || errors.Is(err, metastore.ErrUnknown)
}

func (w *keyWriter) try(ctx context.Context, service string, edit keyEdit) error {
	select {
	case w.writing <- struct{}{}:
		defer func() { <-w.writing }()
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", metastore.ErrUnavailable, ctx.Err())
	}
	space, ok := w.views.current().Keys[service]
	if !ok {
		space = KeySpace{Space: keyrange.NewSpace()}
	}
	base := space.InGeneration(w.views.currentGeneration(), space.Contents)
	unreadable := space.unreadableBuckets()
	next, txn, err := edit(base)
	if errors.Is(err, errNoChange) && len(unreadable) > 0 {
		next, err = base, nil
	}
	if err != nil {
		return err
	}
	buckets := next.ChangedBuckets(base)
	for _, bucket := range unreadable {
		if !slices.Contains(buckets, bucket) {
			w.log.Warn("row of a key table was overwritten by another writer; writing it again", zap.String("service", service), zap.Int("bucket", bucket))
			buckets = append(buckets, bucket)
		}
	}
	if !ok {
		// The first write creates the rows of all buckets, so that two concurrent first
		// plans conflict.
		buckets = buckets[:0]
		for i := range keyrange.Buckets {
			buckets = append(buckets, i)
		}
	}
	for _, bucket := range buckets {
		value, err := next.Table(bucket).Encode()
		if err != nil {
			return fmt.Errorf("encode keys of %s: %w", service, err)
		}
		key := bucketKey(service, bucket)
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
