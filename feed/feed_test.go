package feed

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/metastore"
	"github.com/basilway/basilway/metastore/memory"
)

// lossyTable returns ErrUnknown from its first commit, either after applying it or
// without applying it, and runs concurrent before it returns.
type lossyTable struct {
	metastore.Table
	applyFirst bool
	concurrent func()
	fired      bool
}

func (l *lossyTable) Commit(ctx context.Context, txn metastore.Txn) error {
	if l.fired {
		return l.Table.Commit(ctx, txn)
	}
	l.fired = true
	if l.applyFirst {
		if err := l.Table.Commit(ctx, txn); err != nil {
			return err
		}
	}
	if l.concurrent != nil {
		l.concurrent()
	}
	return metastore.ErrUnknown
}

// Guards against Append returning the wrong result when the response to its commit is
// lost: success for a write that was not made, or a conflict for one that was.
func TestAppendResolvesLostResponses(t *testing.T) {
	for _, c := range []struct {
		name              string
		apply, concurrent bool
		want              error
	}{
		{"applied", true, false, nil},
		{"not applied", false, false, nil},
		{"applied, then another writer appended", true, true, nil},
		{"not applied, another writer appended", false, true, metastore.ErrConflict},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			store := memory.New(memory.Rates{}, 1)
			table := &lossyTable{Table: store, applyFirst: c.apply}
			if c.concurrent {
				after := uint64(0)
				if c.apply {
					after = 1
				}
				table.concurrent = func() {
					_, err := NewWriter(store).Append(ctx, "t", after, []byte("rival"), metastore.Txn{})
					g.Expect(err).NotTo(HaveOccurred())
				}
			}
			_, err := NewWriter(table).Append(ctx, "t", 0, []byte("mine"), metastore.Txn{})
			if c.want == nil {
				g.Expect(err).NotTo(HaveOccurred())
			} else {
				g.Expect(err).To(MatchError(c.want))
			}
			records, err := NewLoader(store, store.Objects()).Records(ctx, "t", 0)
			g.Expect(err).NotTo(HaveOccurred())
			count := 0
			for _, r := range records {
				if string(r.Body) == "mine" {
					count++
				}
			}
			g.Expect(count == 1).To(Equal(c.want == nil))
		})
	}
}

// versionLog is an Applier that lists the applied versions.
type versionLog struct{ applied []uint64 }

func (v *versionLog) ApplyRecord(version uint64, _ []byte) error {
	v.applied = append(v.applied, version)
	return nil
}
func (v *versionLog) RestoreSnapshot(Snapshot) error  { return nil }
func (v *versionLog) TakeSnapshot() (Snapshot, error) { return Snapshot{}, nil }

// Guards against a version that goes back or skips one when records arrive late, twice
// or out of order.
func TestReplicaAppliesInOrderOnly(t *testing.T) {
	g := NewWithT(t)
	v := &versionLog{}
	r := NewReplica("t", 2, v)
	for _, batch := range [][]Record{{{Version: 2}}, {{Version: 1}, {Version: 2}}, {{Version: 1}}, {{Version: 4}, {Version: 3}}} {
		_, err := r.Apply(batch)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(v.applied).To(Equal([]uint64{1, 2, 3}))
	g.Expect(r.Restore(Snapshot{Version: 2})).To(Succeed())
	g.Expect(r.Version()).To(BeEquivalentTo(3))
}

// recordCount is an Applier whose state is the number of records applied.
type recordCount struct{ version, records uint64 }

func (s *recordCount) ApplyRecord(version uint64, _ []byte) error {
	s.version, s.records = version, s.records+1
	return nil
}

func (s *recordCount) RestoreSnapshot(snapshot Snapshot) error {
	s.version, s.records = snapshot.Version, uint64(snapshot.Body[0])<<8|uint64(snapshot.Body[1])
	return nil
}

func (s *recordCount) TakeSnapshot() (Snapshot, error) {
	return Snapshot{Version: s.version, Body: []byte{byte(s.records >> 8), byte(s.records)}}, nil
}

// Guards against log rows that are deleted before a snapshot covers them, and against
// snapshots that accumulate in the object store.
func TestReadersStartFromSnapshotAfterLogIsTruncated(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	store := memory.New(memory.Rates{}, 1)
	writer, loader := NewWriter(store), NewLoader(store, store.Objects())
	const records, every, keep = 600, 50, 100
	state := &recordCount{}
	replica := NewReplica("t", 16, state)
	for v := range uint64(records) {
		rec, err := writer.Append(ctx, "t", v, []byte("x"), metastore.Txn{})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = replica.Apply([]Record{rec})
		g.Expect(err).NotTo(HaveOccurred())
		if rec.Version%every == 0 {
			snapshot, err := replica.Snapshot()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(loader.Archive(ctx, "t", snapshot, keep)).To(Succeed())
		}
	}
	names, err := store.Objects().List(ctx, "snapshot/")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(names).To(HaveLen(snapshotSlots))
	first, err := loader.Records(ctx, "t", 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first[0].Version).To(BeEquivalentTo(records - keep + 1))
	restored := &recordCount{}
	reader := NewReplica("t", 16, restored)
	snapshot, err := loader.LatestSnapshot(ctx, "t")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reader.Restore(snapshot)).To(Succeed())
	rest, err := loader.Records(ctx, "t", reader.Version())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = reader.Apply(rest)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(restored.records).To(BeEquivalentTo(records))
}
