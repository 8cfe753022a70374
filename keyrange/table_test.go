package keyrange

import (
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against two owners of a key, and against a fencing token that does not increase
// with a change of owner, in any order of transitions.
func TestTransitionsKeepOneOwnerAndIncreasingFences(t *testing.T) {
	owners := []Owner{{"a", "1"}, {"a", "2"}, {"b", "1"}, {"c", "1"}}
	rapid.Check(t, func(t *rapid.T) {
		table := New(Span{0, MaxKey})
		fences := map[uint16]uint64{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			from := rapid.Uint16().Draw(t, "from")
			to := rapid.Uint16Min(from).Draw(t, "to")
			span := Span{from, to}
			owner, target := rapid.SampledFrom(owners).Draw(t, "owner"), rapid.SampledFrom(owners).Draw(t, "next")
			next, err := randomTransition(t, table, span, owner, target)
			if err != nil {
				continue
			}
			checkFences(t, table, next, fences)
			table = next
			data, err := table.Encode()
			if err != nil {
				t.Fatal(err)
			}
			decoded, err := Decode(data, Span{0, MaxKey})
			if err != nil {
				t.Fatalf("cannot decode the table after a transition: %v", err)
			}
			if !reflect.DeepEqual(decoded, table) {
				t.Fatalf("decoded table is %v, want %v", decoded, table)
			}
		}
	})
}

func randomTransition(t *rapid.T, table *Table, span Span, owner, next Owner) (*Table, error) {
	switch rapid.IntRange(0, 5).Draw(t, "transition") {
	case 0:
		return table.Assign(span, owner)
	case 1:
		return table.BeginMove(span, owner, next)
	case 2:
		return table.CancelMove(span)
	case 3:
		return table.Release(span, owner, "token")
	case 4:
		return table.Drop(owner), nil
	default:
		return table.Replace(owner, next), nil
	}
}

// checkFences checks the bounds of all ranges, where every change of owner is visible.
func checkFences(t *rapid.T, before, after *Table, highest map[uint16]uint64) {
	for _, r := range append(append([]Range(nil), before.Ranges...), after.Ranges...) {
		for _, key := range []uint16{r.From, r.To} {
			old, now := before.Find(key), after.Find(key)
			highest[key] = max(highest[key], old.Fence)
			if now.Owner != old.Owner && !now.Owner.IsZero() && now.Fence <= highest[key] {
				t.Fatalf("key %d changed owner from %v with fence %d to %v with fence %d", key, old.Owner, highest[key], now.Owner, now.Fence)
			}
		}
	}
}

// Guards against an owner that loses keys before it releases them: during a planned move it
// keeps the keys.
func TestMoveKeepsOwnerUntilRelease(t *testing.T) {
	g := NewWithT(t)
	a, b := Owner{"a", "1"}, Owner{"b", "1"}
	table, err := New(Span{0, MaxKey}).Assign(Span{0, MaxKey}, a)
	g.Expect(err).NotTo(HaveOccurred())
	moving, err := table.BeginMove(Span{10, 19}, a, b)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(moving.Find(15).Owner).To(Equal(a))
	_, err = moving.Release(Span{10, 19}, b, "")
	g.Expect(err).To(MatchError(ErrNotOwner))
	_, err = moving.Assign(Span{10, 19}, b)
	g.Expect(err).To(MatchError(ErrOwned))
	done, err := moving.Release(Span{10, 19}, a, "token")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(done.Find(15)).To(Equal(Range{Span: Span{10, 19}, Owner: b, Fence: moving.NextFence, Handover: "token", Confirmed: true}))
	g.Expect(table.Find(15).Owner).To(Equal(a), "the original table is unchanged")
}

// Guards against accepting an invalid table. The encoding holds only the ends of ranges, so
// gaps and overlaps appear as ends out of order.
func TestDecodeRejectsInvalidTables(t *testing.T) {
	g := NewWithT(t)
	for _, ranges := range [][]encodedRange{
		nil,
		{{To: MaxKey - 1}},
		{{To: 10}, {To: 10}, {To: MaxKey}},
		{{To: 10}, {To: 9}, {To: MaxKey}},
		{{To: MaxKey}, {To: MaxKey}},
		{{To: MaxKey, Fence: 7}},
		{{To: MaxKey, Owner: 2}},
		{{To: MaxKey, Next: 2}},
		{{To: MaxKey, Owner: -1}},
	} {
		data, err := cbor.Marshal(encodedTable{NextFence: 7, Owners: []Owner{{"a", "1"}}, Ranges: ranges})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = Decode(data, Span{0, MaxKey})
		g.Expect(err).To(HaveOccurred())
	}
	// A valid table of another row of the key space.
	data, err := New(BucketSpan(1)).Encode()
	g.Expect(err).NotTo(HaveOccurred())
	_, err = Decode(data, BucketSpan(0))
	g.Expect(err).To(HaveOccurred())
	_, err = Decode([]byte("not a table"), Span{0, MaxKey})
	g.Expect(err).To(HaveOccurred())
}

// Guards against a row that repeats owner names in each range: the row is sent to every
// node with each change.
func TestEncodedTableStoresEachOwnerOnce(t *testing.T) {
	g := NewWithT(t)
	table := New(BucketSpan(0))
	owner := Owner{Instance: "sidecar-kumamoto-hall-23", Incarnation: "i-6bbac2ec0b@1785836495000"}
	other := Owner{Instance: "sidecar-kagoshima-hall-5", Incarnation: "i-872620ca0c@1785836495000"}
	for from := 0; from < 100; from++ {
		rangeOwner := owner
		if from%2 == 1 {
			rangeOwner = other
		}
		var err error
		table, err = table.Assign(Span{From: uint16(from), To: uint16(from)}, rangeOwner)
		g.Expect(err).NotTo(HaveOccurred())
	}
	data, err := table.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(data)).To(BeNumerically("<", 101*12+200))
}

// Guards against announcing a change to instances whose keys did not change.
func TestChangedOwnersReturnsOnlyOwnersOfChangedRanges(t *testing.T) {
	g := NewWithT(t)
	a, b, c := Owner{"a", "1"}, Owner{"b", "1"}, Owner{"c", "1"}
	table, err := New(BucketSpan(0)).Assign(Span{0, 99}, a)
	g.Expect(err).NotTo(HaveOccurred())
	table, err = table.Assign(Span{100, BucketSpan(0).To}, b)
	g.Expect(err).NotTo(HaveOccurred())
	moving, err := table.BeginMove(Span{10, 19}, a, c)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(moving.ChangedOwners(table)).To(ConsistOf(a, c))
	g.Expect(table.ChangedOwners(table)).To(BeEmpty())
	g.Expect(table.ChangedOwners(nil)).To(ConsistOf(a, b))
}
