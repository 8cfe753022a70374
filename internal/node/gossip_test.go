package node

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against changes that reach only a part of the nodes, and against sending most
// messages between availability zones, where traffic is expensive. Each node passes a row on
// once.
func TestRowsReachNearlyAllNodesAndMostlyStayInTheZone(t *testing.T) {
	g := NewWithT(t)
	const nodes, zones, rounds = 84, 4, 40
	reached, sent, crossZone := 0, 0, 0
	for range rounds {
		has := map[int]bool{}
		queue := []int{rand.IntN(nodes)}
		has[queue[0]] = true
		for len(queue) > 0 {
			from := queue[0]
			queue = queue[1:]
			var others []reachablePeer
			for n := range nodes {
				if n != from {
					others = append(others, reachablePeer{instance: fmt.Sprint(n), address: fmt.Sprint(n), zone: fmt.Sprint(n % zones), sameZone: n%zones == from%zones})
				}
			}
			for _, address := range randomTargets(others) {
				var to int
				if _, err := fmt.Sscan(address, &to); err != nil {
					t.Fatal(err)
				}
				sent++
				if to%zones != from%zones {
					crossZone++
				}
				if !has[to] {
					has[to] = true
					queue = append(queue, to)
				}
			}
		}
		reached += len(has)
	}
	g.Expect(float64(reached) / (nodes * rounds)).To(BeNumerically(">", 0.85))
	g.Expect(float64(crossZone) / float64(sent)).To(BeNumerically("<", 0.5))
}
