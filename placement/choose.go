package placement

import (
	"math/rand/v2"
	"time"
)

// fewCandidates is the number of candidates up to which a node's own view of all of them
// is fresh enough to compare them; each answer carries the load of its backend server.
const fewCandidates = 4

// Choose returns the index of the candidate to send a request to. Among few it takes the
// earliest expected answer. Among many it compares two that are drawn by capacity.
//
// It answers many senders that each send little to each server: what they know of its load
// is old, and if all took the server that looks best they would crowd the fastest ones. The
// method is the power of two choices (Mitzenmacher, 2001), with weights.
func Choose(candidates []Candidate, rng *rand.Rand) int {
	if len(candidates) <= fewCandidates {
		best := 0
		for i := range candidates {
			if candidates[i].Completion() < candidates[best].Completion() {
				best = i
			}
		}
		return best
	}
	first := draw(candidates, -1, rng)
	second := draw(candidates, first, rng)
	// The draw has taken the speeds into account already.
	if candidates[second].delay() < candidates[first].delay() {
		return second
	}
	return first
}

// delay is the expected completion time beyond the work itself.
func (c Candidate) delay() time.Duration { return c.Completion() - c.Work }

// weight is the number of requests a second that the backend server can run, less for a
// way there that is slow.
func (c Candidate) weight() float64 {
	return float64(max(c.Slots, 1)) / max((c.Work+c.Distance).Seconds(), 1e-3)
}

// draw returns a candidate other than one, by weight.
func draw(candidates []Candidate, other int, rng *rand.Rand) int {
	total := 0.0
	for i, c := range candidates {
		if i != other {
			total += c.weight()
		}
	}
	point, last := rng.Float64()*total, 0
	for i, c := range candidates {
		if i == other {
			continue
		}
		last = i
		if point -= c.weight(); point < 0 {
			break
		}
	}
	return last
}
