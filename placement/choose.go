package placement

import (
	"math/rand/v2"
	"time"
)

// compareAllLimit is the number of candidates up to which Choose compares all of them. Each
// response carries the load of its backend server, so a node's view of few candidates is
// fresh enough for that.
const compareAllLimit = 4

// Choose returns the index of the candidate to send a request to. Among few candidates it
// takes the one with the earliest expected completion. Among many it draws two at random,
// weighted by capacity, and takes the better one.
//
// With many nodes that each send few requests to each server, a node's view of the load is
// old. If every node took the server that looks best, they would overload the fastest ones.
// The method is the power of two choices (Mitzenmacher, 2001), with weights.
func Choose(candidates []Candidate, rng *rand.Rand) int {
	if len(candidates) <= compareAllLimit {
		best := 0
		for i := range candidates {
			if candidates[i].Completion() < candidates[best].Completion() {
				best = i
			}
		}
		return best
	}
	first := drawByWeight(candidates, -1, rng)
	second := drawByWeight(candidates, first, rng)
	// The weights already account for the speeds, so the work itself is left out here.
	if candidates[second].delay() < candidates[first].delay() {
		return second
	}
	return first
}

// delay returns the expected completion time without the work itself.
func (c Candidate) delay() time.Duration { return c.Completion() - c.Work }

// weight returns the number of requests per second that the backend server can run, reduced
// by the overhead.
func (c Candidate) weight() float64 {
	return float64(max(c.Slots, 1)) / max((c.slotTime()+c.Overhead).Seconds(), 1e-3)
}

// drawByWeight returns the index of a random candidate other than excluded, with a
// probability in proportion to its weight. An excluded index of -1 allows all.
func drawByWeight(candidates []Candidate, excluded int, rng *rand.Rand) int {
	total := 0.0
	for i, c := range candidates {
		if i != excluded {
			total += c.weight()
		}
	}
	point, last := rng.Float64()*total, 0
	for i, c := range candidates {
		if i == excluded {
			continue
		}
		last = i
		if point -= c.weight(); point < 0 {
			break
		}
	}
	return last
}
