package polled

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/metastore"
	"github.com/basilway/basilway/metastore/memory"
)

func put(key, value string) metastore.Txn {
	return metastore.Txn{Writes: []metastore.Write{{Key: key, Value: []byte(value)}}}
}

// Guards against changes, including deletions, that a watch does not return, and against
// rows of other tables.
func TestWatchReturnsWritesAndDeletions(t *testing.T) {
	g := NewWithT(t)
	store := memory.New(memory.Rates{}, 1)
	table := New(store, 5*time.Millisecond)
	applied, err := table.Apply(t.Context(), put("a/1", "x"))
	g.Expect(err).NotTo(HaveOccurred())
	listing, err := table.List(t.Context(), "a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(listing.Rows).To(HaveLen(1))
	g.Expect(listing.Version).To(Equal(applied.Version))

	go func() {
		time.Sleep(20 * time.Millisecond)
		_ = store.Commit(context.Background(), put("b/1", "other"))
		_ = store.Commit(context.Background(), put("a/2", "y"))
	}()
	changes, err := table.Watch(t.Context(), "a", listing.Version, time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changes.Rows).To(HaveLen(1))
	g.Expect(changes.Rows[0].Key).To(Equal("a/2"))

	g.Expect(store.Commit(t.Context(), metastore.Txn{Writes: []metastore.Write{{Key: "a/1", Delete: true}}})).To(Succeed())
	changes, err = table.Watch(t.Context(), "a", changes.Version, time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changes.Rows).To(HaveLen(1))
	g.Expect(changes.Rows[0].Deleted).To(BeTrue())
	g.Expect(changes.Rows[0].Version).To(BeNumerically(">", applied.Version))

	changes, err = table.Watch(t.Context(), "a", changes.Version, 20*time.Millisecond)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changes.Rows).To(BeEmpty(), "nothing changed")
}

// Guards against taking the version of another writer's later write for that of the
// caller's write.
func TestApplyDoesNotAdoptTheVersionOfAnotherWrite(t *testing.T) {
	g := NewWithT(t)
	store := memory.New(memory.Rates{}, 1)
	table := New(overwritingTable{store}, time.Millisecond)
	_, err := table.Apply(t.Context(), put("a/1", "mine"))
	g.Expect(err).To(MatchError(metastore.ErrUnknown))
	_, err = New(store, time.Millisecond).Apply(t.Context(), metastore.Txn{
		Conditions: []metastore.Condition{{Key: "a/1", Version: 99}}, Writes: []metastore.Write{{Key: "a/1"}},
	})
	g.Expect(err).To(MatchError(metastore.ErrConflict))
}

// overwritingTable overwrites each row after it was written.
type overwritingTable struct{ metastore.Table }

func (o overwritingTable) Commit(ctx context.Context, txn metastore.Txn) error {
	if err := o.Table.Commit(ctx, txn); err != nil {
		return err
	}
	return o.Table.Commit(ctx, put(txn.Writes[0].Key, "theirs"))
}
