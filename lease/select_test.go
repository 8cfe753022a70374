package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/basilway/basilway/cluster"
)

// Guards against witnesses that share an availability zone, or are in another region,
// without need, so that one failure stops several of them. Also guards against sets
// that change without a reason.
func TestSelectWitnesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		member := func(i int) cluster.Member {
			zone := fmt.Sprintf("r%d/z%d", rapid.IntRange(0, 1).Draw(t, "region"), rapid.IntRange(0, 3).Draw(t, "zone"))
			return cluster.Member{Session: cluster.Session{Instance: fmt.Sprint("m", i), Incarnation: 1}, Zone: zone}
		}
		self := member(0)
		p := Preferences{Load: map[cluster.Session]int{}, Limit: 8, Avoid: map[cluster.Session]bool{}}
		members := []cluster.Member{self}
		byID := map[cluster.Session]cluster.Member{}
		zones, local := map[string]bool{}, 0
		for i := range rapid.IntRange(0, 12).Draw(t, "others") {
			m := member(i + 1)
			members = append(members, m)
			byID[m.Session] = m
			p.Load[m.Session] = rapid.IntRange(0, 9).Draw(t, "load")
			if m.Region() == self.Region() {
				local++
				zones[m.Zone] = true
			}
		}
		set := SelectWitnesses(self, members, p, rng)
		others := len(members) - 1
		if set.Store != (others < MaxWitnesses) || len(set.Witnesses) != min(others, MaxWitnesses) {
			t.Fatalf("%d others, set %+v", others, set)
		}
		used := map[string]bool{}
		for _, w := range set.Witnesses {
			used[byID[w].Zone] = true
			if local >= MaxWitnesses && byID[w].Region() != self.Region() {
				t.Fatalf("%v is in another region", w)
			}
		}
		if local >= MaxWitnesses && len(used) < min(len(zones), MaxWitnesses) {
			t.Fatalf("zones %v used of %v", used, zones)
		}
		p.Keep = set.Witnesses
		if again := SelectWitnesses(self, members, p, rng); !again.sameWitnesses(set) {
			t.Fatalf("%+v became %+v", set, again)
		}
		if others > MaxWitnesses {
			p.Avoid[set.Witnesses[0]] = true
			again := SelectWitnesses(self, members, p, rng)
			if local > MaxWitnesses && again.index(set.Witnesses[0]) >= 0 {
				t.Fatalf("%v is avoided", set.Witnesses[0])
			}
		}
	})
}
