package placement

import (
	"math/rand/v2"
	"time"
)

const (
	// nearTargetShare is the share of the time until its target within which a request must be
	// expected to be answered for it to stay in its availability zone. The rest is for the load
	// that a sender does not see yet. In the replay, 0.6 lets four times as many requests leave at
	// half of the capacity (5 %), and 0.8 serves half a point fewer in time at 0.8 of it.
	nearTargetShare = 0.65
	// farMargin is how much earlier, as a share of the time until the target, a server in
	// another availability zone must be expected to answer. Without it, zones that are equally
	// full exchange requests.
	farMargin = 0.3
)

// ChooseNear returns the index of the candidate to send a request to that is to be answered
// within target from now. It draws two of the Near candidates and takes the better one if that is
// expected to answer in time, with a reserve. Otherwise it draws from all candidates, and one
// that is not Near must be clearly better.
//
// It is made for a few servers in each availability zone and many senders that see their load
// late. Candidates are drawn at random, as in Choose, but also among few: senders that all
// take the server that looks best fill it before any of them learns of it. For the same reason
// it does not look for another Near candidate if the drawn ones are full.
func ChooseNear(candidates []Candidate, target time.Duration, rng *rand.Rand) int {
	target = max(target, 0)
	var near []int
	all := make([]int, len(candidates))
	weighed := make([]Candidate, len(candidates))
	for i, c := range candidates {
		all[i] = i
		// A candidate that refuses every request costs as much as the target.
		c.Overhead += share(target, c.RefusalRate)
		if c.Near {
			near = append(near, i)
		} else {
			c.Overhead += share(target, farMargin)
		}
		weighed[i] = c
	}
	if len(near) > 0 {
		i := drawBetter(candidates, near, rng)
		inTime := candidates[i].Completion() <= share(target, nearTargetShare)
		if inTime && rng.Float64() >= candidates[i].RefusalRate {
			return i
		}
	}
	return drawBetter(weighed, all, rng)
}

func share(d time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(d))
}

// drawBetter draws two of the candidates at the indices, weighted by capacity, and returns the
// index of the better one.
func drawBetter(candidates []Candidate, indices []int, rng *rand.Rand) int {
	if len(indices) == 1 {
		return indices[0]
	}
	drawn := make([]Candidate, len(indices))
	for i, at := range indices {
		drawn[i] = candidates[at]
	}
	first := drawByWeight(drawn, -1, rng)
	second := drawByWeight(drawn, first, rng)
	// The weights already account for the speeds, so the work itself is left out here.
	if drawn[second].delay() < drawn[first].delay() {
		return indices[second]
	}
	return indices[first]
}
