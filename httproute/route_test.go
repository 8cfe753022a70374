package httproute

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against destinations of a route that do not get their share, even over short runs
// of requests.
func TestPickFollowsWeights(t *testing.T) {
	g := NewWithT(t)
	r := Route{Destinations: []Destination{{"a", 70}, {"b", 20}, {"c", 10}, {"d", 0}}}
	for _, requests := range []int{100, 300, 5000} {
		count := map[string]int{}
		for n := range requests {
			count[r.Pick(uint64(n)+17)]++
		}
		for _, d := range r.Destinations {
			share := float64(count[d.Service]) / float64(requests)
			g.Expect(math.Abs(share-float64(d.Weight)/100)).To(BeNumerically("<", 0.03), "%s of %d", d.Service, requests)
		}
	}
}
