package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/basilway/basilway/catalogue"
	"github.com/basilway/basilway/feed"
	"github.com/basilway/basilway/metastore"
)

// maxEditAttempts bounds the attempts to commit an edit while other entries are edited at
// the same time.
const maxEditAttempts = 20

// catalogueEditor commits catalogue edits.
type catalogueEditor struct {
	replicas *replicas
	writer   *feed.Writer
}

// apply commits a change if the entry is at version expected. The error is a
// *catalogue.ConflictError, a *catalogue.ValidationError, or wraps
// metastore.ErrUnavailable (nothing was written) or metastore.ErrUnknown.
func (e *catalogueEditor) apply(ctx context.Context, change catalogue.Change, expected uint64) (catalogue.Entry, uint64, error) {
	for range maxEditAttempts {
		current := e.replicas.catalogue()
		if err := current.Check(change, expected); err != nil {
			if !e.refresh(ctx, current) {
				return catalogue.Entry{}, 0, err
			}
			continue
		}
		change.TimeMS = time.Now().UnixMilli()
		body, err := catalogue.EncodeChange(change)
		if err != nil {
			return catalogue.Entry{}, 0, err
		}
		record, err := e.writer.Append(ctx, feed.TopicCatalogue, current.Version(), body, metastore.Txn{})
		if errors.Is(err, metastore.ErrConflict) {
			if err := e.replicas.catchUp(ctx, feed.TopicCatalogue); err != nil {
				return catalogue.Entry{}, 0, fmt.Errorf("%w: %w", metastore.ErrUnavailable, err)
			}
			continue
		}
		if err != nil {
			return catalogue.Entry{}, 0, err
		}
		return e.publish(ctx, change, record)
	}
	return catalogue.Entry{}, 0, fmt.Errorf("%w: too many edits at once", metastore.ErrUnavailable)
}

// refresh applies later versions of the catalogue from the store and reports whether
// there were any after seen. A check that failed against an old catalogue is repeated.
func (e *catalogueEditor) refresh(ctx context.Context, seen *catalogue.State) bool {
	if err := e.replicas.catchUp(ctx, feed.TopicCatalogue); err != nil {
		return false
	}
	return e.replicas.catalogue().Version() > seen.Version()
}

// publish applies a committed change and pushes it to peers. The edit takes effect even
// if ctx ends here, because the record is in the table.
func (e *catalogueEditor) publish(ctx context.Context, change catalogue.Change, record feed.Record) (catalogue.Entry, uint64, error) {
	e.replicas.applyAsync(context.WithoutCancel(ctx), feed.TopicCatalogue, []feed.Record{record}, "")
	entry := change.Entry
	entry.Version = record.Version
	return entry, record.Version, nil
}
