package feed

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"github.com/basilway/basilway/metastore"
)

// resolveInterval is the pause between attempts to determine the outcome of a commit whose
// response was lost.
const resolveInterval = 50 * time.Millisecond

// Writer appends records to the feeds of a table. It is safe for concurrent use.
type Writer struct {
	table metastore.Table
}

// NewWriter returns a Writer for table.
func NewWriter(table metastore.Table) *Writer { return &Writer{table: table} }

// Append writes body as version after+1 of topic. The conditions and writes in extra are
// part of the same transaction.
//
// Errors: metastore.ErrConflict if the head is not at version after or a condition in
// extra does not hold, metastore.ErrUnavailable if nothing was written, and
// metastore.ErrUnknown if ctx ended before the outcome of a write was known.
func (w *Writer) Append(ctx context.Context, topic string, after uint64, body []byte, extra metastore.Txn) (Record, error) {
	headRow, err := w.table.Get(ctx, HeadKey(topic))
	if err != nil {
		return Record{}, fmt.Errorf("%w: read head: %w", metastore.ErrUnavailable, err)
	}
	current, err := decodeHead(headRow.Value)
	if err != nil {
		return Record{}, err
	}
	if current != after {
		return Record{}, fmt.Errorf("%w: feed %s is at version %d, not %d", metastore.ErrConflict, topic, current, after)
	}
	rec := Record{Version: after + 1, Token: uuid.New(), Body: body}
	txn, err := appendTxn(topic, headRow.Version, rec, extra)
	if err != nil {
		return Record{}, err
	}
	return rec, w.commit(ctx, topic, rec, txn)
}

func appendTxn(topic string, headRowVersion uint64, rec Record, extra metastore.Txn) (metastore.Txn, error) {
	headValue, err := encodeHead(rec.Version)
	if err != nil {
		return metastore.Txn{}, err
	}
	logValue, err := cbor.Marshal(rec)
	if err != nil {
		return metastore.Txn{}, err
	}
	logKey := LogKey(topic, rec.Version)
	return metastore.Txn{
		Conditions: append([]metastore.Condition{
			{Key: HeadKey(topic), Version: headRowVersion},
			{Key: logKey, Version: 0},
		}, extra.Conditions...),
		Writes: append([]metastore.Write{
			{Key: HeadKey(topic), Value: headValue},
			{Key: logKey, Value: logValue},
		}, extra.Writes...),
	}, nil
}

// commit retries the transaction until its outcome is known. Retrying is safe because the
// condition on the head row can hold only once. A conflict after a lost response may come
// from an earlier attempt of this call, so commit then reads the log row to decide.
func (w *Writer) commit(ctx context.Context, topic string, rec Record, txn metastore.Txn) error {
	inDoubt := false
	for {
		err := w.table.Commit(ctx, txn)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, metastore.ErrConflict) && !inDoubt:
			return err
		case errors.Is(err, metastore.ErrUnavailable) && !inDoubt:
			return err
		case errors.Is(err, metastore.ErrConflict):
			committed, readErr := w.isCommitted(ctx, topic, rec)
			if readErr == nil && committed {
				return nil
			}
			if readErr == nil {
				return err
			}
		case !errors.Is(err, metastore.ErrUnavailable):
			inDoubt = true
		}
		if ctxErr := sleep(ctx, resolveInterval); ctxErr != nil {
			return fmt.Errorf("%w: feed %s version %d: %w", metastore.ErrUnknown, topic, rec.Version, err)
		}
	}
}

// isCommitted reports whether the log row of rec's version carries rec's token. It
// returns metastore.ErrUnknown if the row was archived in the meantime.
func (w *Writer) isCommitted(ctx context.Context, topic string, rec Record) (bool, error) {
	row, err := w.table.Get(ctx, LogKey(topic, rec.Version))
	if err != nil {
		return false, err
	}
	if row.Version == 0 {
		return false, w.checkNotArchived(ctx, topic, rec.Version)
	}
	stored, err := decodeRecord(row.Value)
	if err != nil {
		return false, err
	}
	return stored.Token == rec.Token, nil
}

// checkNotArchived returns nil if version, whose log row is absent, was never written, and
// metastore.ErrUnknown if it was written and then archived.
func (w *Writer) checkNotArchived(ctx context.Context, topic string, version uint64) error {
	row, err := w.table.Get(ctx, HeadKey(topic))
	if err != nil {
		return err
	}
	current, err := decodeHead(row.Value)
	if err != nil {
		return err
	}
	if current >= version {
		return fmt.Errorf("%w: feed %s version %d is archived", metastore.ErrUnknown, topic, version)
	}
	return nil
}

// sleep waits for d. If ctx ends first, it returns the error of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
