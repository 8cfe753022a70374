package keyrange

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against two owners of a key and against a fencing token that does not grow with
// a change of owner, whatever the order of transitions.
func TestTransitionsKeepOneOwnerAndGrowingFences(t *testing.T) {
	owners := []Owner{{"a", "1"}, {"a", "2"}, {"b", "1"}, {"c", "1"}}
	rapid.Check(t, func(t *rapid.T) {
		table := New(Span{0, MaxKey})
		fences := map[uint16]uint64{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			from := rapid.Uint16().Draw(t, "from")
			to := rapid.Uint16Min(from).Draw(t, "to")
			span := Span{from, to}
			one, two := rapid.SampledFrom(owners).Draw(t, "owner"), rapid.SampledFrom(owners).Draw(t, "next")
			next, err := step(t, table, span, one, two)
			if err != nil {
				continue
			}
			checkFences(t, table, next, fences)
			table = next
			data, err := table.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if _, err := Decode(data, Span{0, MaxKey}); err != nil {
				t.Fatalf("table after a transition cannot be read: %v", err)
			}
		}
	})
}

func step(t *rapid.T, table *Table, span Span, one, two Owner) (*Table, error) {
	switch rapid.IntRange(0, 5).Draw(t, "transition") {
	case 0:
		return table.Assign(span, one)
	case 1:
		return table.BeginMove(span, one, two)
	case 2:
		return table.CancelMove(span)
	case 3:
		return table.Release(span, one, "token")
	case 4:
		return table.Drop(one), nil
	default:
		return table.Replace(one, two), nil
	}
}

// checkFences looks at the ends of all ranges, where every change of owner shows.
func checkFences(t *rapid.T, before, after *Table, highest map[uint16]uint64) {
	for _, r := range append(append([]Range(nil), before.Ranges...), after.Ranges...) {
		for _, key := range []uint16{r.From, r.To} {
			old, now := before.Find(key), after.Find(key)
			highest[key] = max(highest[key], old.Fence)
			if now.Owner != old.Owner && !now.Owner.None() && now.Fence <= highest[key] {
				t.Fatalf("key %d goes from %v with fence %d to %v with fence %d", key, old.Owner, highest[key], now.Owner, now.Fence)
			}
		}
	}
}

// Guards against an owner that loses keys without its own release: a planned move leaves
// the keys with it until then.
func TestMoveKeepsTheOwnerUntilItReleases(t *testing.T) {
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
	g.Expect(done.Find(15)).To(Equal(Range{Span: Span{10, 19}, Owner: b, Fence: moving.NextFence, Handover: "token"}))
	g.Expect(table.Find(15).Owner).To(Equal(a), "tables are values")
}

// Guards against a table that is taken over although it cannot be right.
func TestDecodeRejectsGapsAndOverlaps(t *testing.T) {
	g := NewWithT(t)
	for _, ranges := range [][]Range{
		nil,
		{{Span: Span{1, MaxKey}}},
		{{Span: Span{0, 10}}, {Span: Span{12, MaxKey}}},
		{{Span: Span{0, 10}}, {Span: Span{10, MaxKey}}},
		{{Span: Span{0, MaxKey}, Fence: 7}},
	} {
		data, err := (&Table{NextFence: 7, Ranges: ranges}).Encode()
		g.Expect(err).NotTo(HaveOccurred())
		_, err = Decode(data, Span{0, MaxKey})
		g.Expect(err).To(HaveOccurred())
	}
	_, err := Decode([]byte("not a table"), Span{0, MaxKey})
	g.Expect(err).To(HaveOccurred())
}
