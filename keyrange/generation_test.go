package keyrange

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var (
	gen1Owner = Owner{Instance: "a", Incarnation: "a@1"}
	gen2Owner = Owner{Instance: "b", Incarnation: "b@1"}
)

// Guards against a fencing token that was issued in the seconds that the store lost.
func TestTokensOfANewGenerationAreAboveAllEarlierOnes(t *testing.T) {
	g := NewWithT(t)
	rapid.Check(t, func(t *rapid.T) {
		table := New(Span{0, 99})
		for range rapid.IntRange(0, 200).Draw(t, "edits") {
			table = table.Drop(gen1Owner)
			next, err := table.Assign(Span{0, 99}, gen1Owner)
			if err != nil {
				t.Fatal(err)
			}
			table = next
		}
		lost := table.NextFence
		// The store has a copy from before these edits.
		next, err := New(Span{0, 99}).InGeneration(uint64(rapid.IntRange(1, 9).Draw(t, "generation")), 0).Assign(Span{0, 99}, gen2Owner)
		if err != nil {
			t.Fatal(err)
		}
		if next.Find(5).Fence < lost {
			t.Fatalf("token %d, lost ones up to %d", next.Find(5).Fence, lost-1)
		}
	})
	g.Expect(New(Span{0, 9}).InGeneration(0, 0).NextFence).To(BeEquivalentTo(1), "a store that never went back")
}

// Guards against ranges that count as recorded in a generation in which nobody has written
// them, and against losing that with the encoding.
func TestRangesAreUnconfirmedInANewGeneration(t *testing.T) {
	g := NewWithT(t)
	table, err := New(Span{0, 99}).Assign(Span{0, 49}, gen1Owner)
	g.Expect(err).NotTo(HaveOccurred())
	table, err = table.Assign(Span{50, 99}, gen2Owner)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(table.SettledIn(0, table.Find(0))).To(BeTrue())
	g.Expect(table.SettledIn(1, table.Find(0))).To(BeFalse())
	next := table.InGeneration(1, 7)
	g.Expect(next.SettledIn(1, next.Find(0))).To(BeFalse())
	next = next.Confirm(next.Find(0))
	data, err := next.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	read, err := Decode(data, Span{0, 99})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read).To(Equal(next))
	g.Expect(read.SettledIn(1, read.Find(0))).To(BeTrue())
	g.Expect(read.SettledIn(1, read.Find(50))).To(BeFalse())
	renewed := read.Renew(read.Find(50))
	g.Expect(renewed.Find(50).Fence).To(BeNumerically(">", read.Find(50).Fence))
	g.Expect(renewed.SettledIn(1, renewed.Find(50))).To(BeTrue())
	g.Expect(read.InGeneration(1, 9)).To(BeIdenticalTo(read), "the same generation")
}

// Guards against an earlier owner that replaces a later one, whichever of two tables is read
// first.
func TestJoinKeepsTheLaterOwner(t *testing.T) {
	g := NewWithT(t)
	table, err := New(Span{0, 99}).Assign(Span{0, 99}, gen1Owner)
	g.Expect(err).NotTo(HaveOccurred())
	moved, err := table.BeginMove(Span{10, 19}, gen1Owner, gen2Owner)
	g.Expect(err).NotTo(HaveOccurred())
	moved, err = moved.Release(Span{10, 19}, gen1Owner, "token")
	g.Expect(err).NotTo(HaveOccurred())
	restored := table.InGeneration(1, 3).Join(moved)
	g.Expect(restored.Find(15).Owner).To(Equal(gen2Owner))
	g.Expect(restored.Find(15).Fence).To(Equal(moved.Find(15).Fence))
	g.Expect(restored.Find(15).Confirmed).To(BeFalse())
	g.Expect(restored.Find(9).Owner).To(Equal(gen1Owner))
	kept := moved.InGeneration(1, 3).Join(table)
	g.Expect(kept.Find(15).Owner).To(Equal(gen2Owner))
	g.Expect(kept.Ranges).To(HaveLen(3))
	_, err = Decode(mustEncode(t, restored), Span{0, 99})
	g.Expect(err).NotTo(HaveOccurred())
}

func mustEncode(t *testing.T, table *Table) []byte {
	t.Helper()
	data, err := table.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against decisions on ranges that a node must not use yet.
func TestHiddenRangesHaveNoOwner(t *testing.T) {
	g := NewWithT(t)
	space, err := NewSpace().Assign(Span{0, MaxKey}, gen1Owner)
	g.Expect(err).NotTo(HaveOccurred())
	hidden := space.Hide(func(r Range) bool { return r.From == 0 })
	g.Expect(hidden.Find(0).Owner.IsZero()).To(BeTrue())
	g.Expect(hidden.Find(MaxKey).Owner).To(Equal(gen1Owner))
	g.Expect(space.Find(0).Owner).To(Equal(gen1Owner))
	g.Expect(space.Rewrite(3).ChangedBuckets(space)).To(Equal([]int{3}))
}

// Guards against giving keys away at once because the owner before the last one, which the store
// shows after it went back, has ended.
func TestDroppingAnEarlierOwnerConfirmsNothing(t *testing.T) {
	g := NewWithT(t)
	table, err := New(Span{0, 99}).Assign(Span{0, 99}, gen1Owner)
	g.Expect(err).NotTo(HaveOccurred())
	table, err = table.BeginMove(Span{50, 99}, gen1Owner, gen2Owner)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(table.Drop(gen1Owner).SettledIn(0, table.Drop(gen1Owner).Find(0))).To(BeTrue())
	later := table.InGeneration(1, 7).Drop(gen1Owner)
	g.Expect(later.SettledIn(1, later.Find(0))).To(BeFalse())
	g.Expect(later.SettledIn(1, later.Find(50))).To(BeFalse())
}
