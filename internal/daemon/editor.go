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

// editAttempts bounds how often an edit is repeated because another entry was edited
// at the same time.
const editAttempts = 20

// editor commits catalogue edits.
type editor struct {
	replicas *replicas
	writer   *feed.Writer
}

// apply commits a change if the entry is at version expected. The error is a
// *catalogue.ConflictError, a *catalogue.ValidationError, or wraps
// metastore.ErrUnavailable (nothing was written) or metastore.ErrUnknown.
func (e *editor) apply(ctx context.Context, change catalogue.Change, expected uint64) (catalogue.Entry, uint64, error) {
	for range editAttempts {
		book := e.replicas.book()
		if err := book.Check(change, expected); err != nil {
			if !e.outdated(ctx, book) {
				return catalogue.Entry{}, 0, err
			}
			continue
		}
		change.TimeMS = time.Now().UnixMilli()
		body, err := catalogue.EncodeChange(change)
		if err != nil {
			return catalogue.Entry{}, 0, err
		}
		rec, err := e.writer.Append(ctx, feed.TopicCatalogue, book.Version(), body, metastore.Txn{})
		if errors.Is(err, metastore.ErrConflict) {
			if err := e.replicas.catchUp(ctx, feed.TopicCatalogue); err != nil {
				return catalogue.Entry{}, 0, fmt.Errorf("%w: %w", metastore.ErrUnavailable, err)
			}
			continue
		}
		if err != nil {
			return catalogue.Entry{}, 0, err
		}
		return e.publish(ctx, change, rec)
	}
	return catalogue.Entry{}, 0, fmt.Errorf("%w: too many edits at once", metastore.ErrUnavailable)
}

// outdated reports whether the store had a later catalogue than book, which is then
// applied. A check that failed against an old catalogue is made again.
func (e *editor) outdated(ctx context.Context, book *catalogue.Book) bool {
	if err := e.replicas.catchUp(ctx, feed.TopicCatalogue); err != nil {
		return false
	}
	return e.replicas.book().Version() > book.Version()
}

// publish applies and spreads a committed change. The edit stands even if ctx ends
// here, because the record is in the table.
func (e *editor) publish(ctx context.Context, change catalogue.Change, rec feed.Record) (catalogue.Entry, uint64, error) {
	e.replicas.offer(context.WithoutCancel(ctx), feed.TopicCatalogue, []feed.Record{rec}, "")
	entry := change.Entry
	entry.Version = rec.Version
	return entry, rec.Version, nil
}
