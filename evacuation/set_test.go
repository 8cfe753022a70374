package evacuation

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/basilway/basilway/metastore"
)

// Guards against a removed row that comes back from a node that missed its removal, also through a
// node that missed the row as well.
func TestRemovedRowWinsEverywhere(t *testing.T) {
	g := NewWithT(t)
	stale := Listed(5, map[string]uint64{"a": 5})
	missedBoth := Listed(9, nil)
	g.Expect(missedBoth.Merge(stale).Evacuated()).To(BeEmpty())
	g.Expect(stale.Merge(missedBoth).Evacuated()).To(BeEmpty())
	removed := Listed(5, map[string]uint64{"a": 5}).Merge(Row("a", 8, true))
	g.Expect(removed.Evacuated()).To(BeEmpty())
	g.Expect(removed.IsEmpty()).To(BeFalse(), "others may not know the removal")
	g.Expect(stale.Merge(removed).Evacuated()).To(BeEmpty())
	g.Expect(removed.ReadThrough(8).IsEmpty()).To(BeTrue())
	again := removed.Merge(Row("a", 11, false))
	g.Expect(again.Evacuated()).To(Equal(map[string]uint64{"a": 11}))
	g.Expect(again.Merge(missedBoth).Evacuated()).To(HaveKey("a"), "evacuated again after the read")
}

// Guards against versions that the store gives out again after it went back: the later generation
// tells what is in force.
func TestLaterGenerationOfTheStoreWins(t *testing.T) {
	g := NewWithT(t)
	before := Listed(100, map[string]uint64{"a": 90})
	lost := Listed(metastore.VersionOf(1, 80), nil)
	g.Expect(before.Merge(lost).Evacuated()).To(BeEmpty())
	rewritten := Row("a", metastore.VersionOf(1, 81), false)
	g.Expect(lost.Merge(rewritten).Merge(before).Evacuated()).To(HaveKey("a"))
}

// Guards against nodes that end with different zones because rows, listings and messages reached them
// in different orders, more than once or not at all before the last read.
func TestSetsMergeToTheSameInAnyOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		g := NewWithT(t)
		rows := map[string]uint64{}
		var evidence []Set
		for version := uint64(1); version <= 12; version++ {
			zone := string(rune('a' + rng.IntN(3)))
			_, present := rows[zone]
			if present && rng.IntN(2) == 0 {
				delete(rows, zone)
				evidence = append(evidence, Row(zone, version, true))
			} else {
				rows[zone] = version
				evidence = append(evidence, Row(zone, version, false))
			}
			if rng.IntN(3) == 0 {
				evidence = append(evidence, Listed(version, rows))
			}
		}
		last := evidence[len(evidence)-1]
		rng.Shuffle(len(evidence), func(i, j int) { evidence[i], evidence[j] = evidence[j], evidence[i] })
		var all Set
		for _, e := range append(evidence, evidence[:3]...) {
			all = all.Merge(e)
		}
		g.Expect(all.Evacuated()).To(Equal(rows))
		some := Listed(12, rows)
		for _, e := range evidence[:rng.IntN(len(evidence))] {
			some = e.Merge(some)
		}
		g.Expect(some.Evacuated()).To(Equal(rows), "whatever an earlier message says")
		g.Expect(all.Merge(some).Agrees(some.Merge(all).Merge(last))).To(BeTrue())
	}
}
