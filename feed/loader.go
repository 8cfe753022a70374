package feed

import (
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/basilway/basilway/metastore"
)

// scanBatch is the maximum number of log rows read by one scan.
const scanBatch = 256

// Loader reads and archives feeds in the platform's table and object store.
type Loader struct {
	table   metastore.Table
	objects metastore.ObjectStore
}

// NewLoader returns a Loader for table and objects.
func NewLoader(table metastore.Table, objects metastore.ObjectStore) *Loader {
	return &Loader{table: table, objects: objects}
}

// HeadVersion reads the latest version of topic; 0 if nothing was appended yet.
func (l *Loader) HeadVersion(ctx context.Context, topic string) (uint64, error) {
	row, err := l.table.Get(ctx, HeadKey(topic))
	if err != nil {
		return 0, err
	}
	return decodeHead(row.Value)
}

// Records reads the records that follow version after, at most scanBatch of them.
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

// LatestSnapshot reads the latest snapshot of topic; its version is 0 if there is none.
func (l *Loader) LatestSnapshot(ctx context.Context, topic string) (Snapshot, error) {
	snapshots, err := l.snapshots(ctx, topic)
	if err != nil {
		return Snapshot{}, err
	}
	var latest Snapshot
	for _, s := range snapshots {
		if s.Version > latest.Version {
			latest = s
		}
	}
	return latest, nil
}

// snapshots reads all snapshots of topic, keyed by object name.
func (l *Loader) snapshots(ctx context.Context, topic string) (map[string]Snapshot, error) {
	names, err := l.objects.List(ctx, snapshotPrefix(topic))
	if err != nil {
		return nil, err
	}
	out := make(map[string]Snapshot, len(names))
	for _, name := range names {
		data, err := l.objects.Get(ctx, name)
		if err != nil {
			return nil, err
		}
		var s Snapshot
		if err := cbor.Unmarshal(data, &s); err != nil {
			return nil, fmt.Errorf("object %s: %w", name, err)
		}
		out[name] = s
	}
	return out, nil
}

// Archive overwrites the oldest stored snapshot with s and then deletes the log rows that
// are keep or more versions older than s, at most scanBatch per call. A reader that needs
// deleted rows starts from the snapshot. Archive does nothing if a snapshot of the same or
// a later version is already stored.
func (l *Loader) Archive(ctx context.Context, topic string, s Snapshot, keep uint64) error {
	data, err := cbor.Marshal(s)
	if err != nil {
		return err
	}
	stored, err := l.snapshots(ctx, topic)
	if err != nil {
		return err
	}
	name := snapshotName(topic, 0)
	for slot := range uint64(snapshotSlots) {
		candidate := snapshotName(topic, slot)
		if stored[candidate].Version >= s.Version {
			return nil
		}
		if stored[candidate].Version < stored[name].Version {
			name = candidate
		}
	}
	if err := l.objects.Put(ctx, name, data); err != nil {
		return err
	}
	if s.Version <= keep {
		return nil
	}
	rows, err := l.table.Scan(ctx, LogPrefix(topic), "", scanBatch)
	if err != nil {
		return err
	}
	var txn metastore.Txn
	for _, row := range rows {
		if row.Key > LogKey(topic, s.Version-keep) {
			break
		}
		txn.Writes = append(txn.Writes, metastore.Write{Key: row.Key, Delete: true})
	}
	if len(txn.Writes) == 0 {
		return nil
	}
	return l.table.Commit(ctx, txn)
}
