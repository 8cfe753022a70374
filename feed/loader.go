package feed

import (
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/basilway/basilway/platform"
)

// scanBatch is the number of log rows read at once.
const scanBatch = 256

// Loader reads feeds from the platform.
type Loader struct {
	table   platform.Table
	objects platform.ObjectStore
}

// NewLoader returns a Loader.
func NewLoader(table platform.Table, objects platform.ObjectStore) *Loader {
	return &Loader{table: table, objects: objects}
}

// HeadVersion reads the latest version of topic.
func (l *Loader) HeadVersion(ctx context.Context, topic string) (uint64, error) {
	row, err := l.table.Get(ctx, HeadKey(topic))
	if err != nil {
		return 0, err
	}
	return decodeHead(row.Value)
}

// Records reads at most scanBatch records after version.
func (l *Loader) Records(ctx context.Context, topic string, after uint64) ([]Record, error) {
	rows, err := l.table.Scan(ctx, LogPrefix(topic), LogKey(topic, after), scanBatch)
	if err != nil {
		return nil, err
	}
	records := make([]Record, 0, len(rows))
	for _, row := range rows {
		rec, err := decodeRecord(row.Value)
		if err != nil {
			return nil, err
		}
		records = append(records, rec)
	}
	return records, nil
}

// LatestSnapshot reads the latest snapshot; its version is 0 if there is none.
func (l *Loader) LatestSnapshot(ctx context.Context, topic string) (Snapshot, error) {
	names, err := l.objects.List(ctx, snapshotPrefix(topic))
	if err != nil || len(names) == 0 {
		return Snapshot{}, err
	}
	data, err := l.objects.Get(ctx, names[len(names)-1])
	if err != nil {
		return Snapshot{}, err
	}
	var s Snapshot
	if err := cbor.Unmarshal(data, &s); err != nil {
		return Snapshot{}, fmt.Errorf("feed %s snapshot: %w", topic, err)
	}
	return s, nil
}

// Archive stores a snapshot and then deletes the log rows that are keep or more
// versions before it. A reader that needs deleted rows starts from the snapshot.
func (l *Loader) Archive(ctx context.Context, topic string, s Snapshot, keep uint64) error {
	data, err := cbor.Marshal(s)
	if err != nil {
		return err
	}
	if err := l.objects.Put(ctx, snapshotName(topic, s.Version), data); err != nil {
		return err
	}
	if s.Version <= keep {
		return nil
	}
	rows, err := l.table.Scan(ctx, LogPrefix(topic), "", scanBatch)
	if err != nil {
		return err
	}
	var txn platform.Txn
	for _, row := range rows {
		if row.Key > LogKey(topic, s.Version-keep) {
			break
		}
		txn.Writes = append(txn.Writes, platform.Write{Key: row.Key, Delete: true})
	}
	if len(txn.Writes) == 0 {
		return nil
	}
	return l.table.Commit(ctx, txn)
}
