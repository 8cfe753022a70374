package takeover

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against witnesses that share one availability zone, whose links may fail together, and against
// a node that is asked twice.
func TestWitnessesAreFromAllZones(t *testing.T) {
	g := NewWithT(t)
	var candidates []Witness
	for i := range 12 {
		candidates = append(candidates, Witness{fmt.Sprint("a", i), "a"})
	}
	candidates = append(candidates, Witness{"b0", "b"}, Witness{"c0", "c"}, Witness{"c1", "c"}, Witness{"c2", "c"}, Witness{"c3", "c"})
	chosen := ChooseWitnesses(candidates, 8)
	zones, addresses := map[string]int{}, map[string]bool{}
	for _, w := range chosen {
		zones[w.Zone]++
		addresses[w.Address] = true
	}
	g.Expect(zones).To(Equal(map[string]int{"a": 4, "b": 1, "c": 3}))
	g.Expect(addresses).To(HaveLen(8))
	g.Expect(ChooseWitnesses(candidates[:2], 8)).To(HaveLen(2))
	g.Expect(ChooseWitnesses(nil, 8)).To(BeEmpty())
}
