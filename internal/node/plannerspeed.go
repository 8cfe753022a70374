package node

import (
	"time"

	"github.com/basilway/basilway/placement"
)

const (
	// minSpeed and maxSpeed bound the speed computed from measurements.
	minSpeed, maxSpeed = 0.4, 2.0
)

// speed returns the speed of m's backend server relative to its service: the mean over its
// routes of the service's mean time divided by its own time. It is 1 without measurements.
func (p *planner) speed(members []Member, m Member) float64 {
	sum, n := 0.0, 0
	for route, own := range p.workTimes[m.Owner.Instance] {
		total, count := time.Duration(0), 0
		for _, other := range members {
			if w := p.workTimes[other.Owner.Instance][route]; w > 0 {
				total += w
				count++
			}
		}
		if own > 0 && count > 1 {
			sum += float64(total) / float64(count) / float64(own)
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return min(maxSpeed, max(minSpeed, sum/float64(n)))
}

const (
	// slowedRatio is the ratio of two reported speeds from which a backend server counts as slowed.
	slowedRatio = 1.5
	// slowedPeriod is how long a slowed backend server's keys are moved away sooner and in more moves
	// than for balance, and slowedBalanceInterval the shortest time between two plans meanwhile.
	slowedPeriod          = 3 * time.Second
	slowedBalanceInterval = 300 * time.Millisecond
	// minLearnedSpeed bounds the speed that a plan assumes, so that a slow backend server keeps the
	// keys whose requests show its recovery.
	minLearnedSpeed = 0.12
)

// recordLearned records what a node has learned about its backend server. p.mu must be held.
func (p *planner) recordLearned(r report, now time.Time) {
	if r.Learned == nil {
		delete(p.learned, r.Instance)
		return
	}
	before, known := p.learned[r.Instance]
	if !known {
		before = newLearnedCapacity(1, 1)
	}
	p.learned[r.Instance] = *r.Learned
	if placement.EffectiveSpeed(r.Learned.speed())*slowedRatio < placement.EffectiveSpeed(before.speed()) {
		p.slowed[r.Instance] = now
		p.speedChanged.notify()
	}
}

// applyLearned makes the plan use what a member's node has learned. p.mu must be held.
func (p *planner) applyLearned(m *placement.Member, now time.Time) {
	learned, ok := p.learned[m.Owner.Instance]
	if !ok || learned.Limit == 0 || learned.Permille == 0 {
		return
	}
	m.Slots = min(m.Slots, int(learned.Limit))
	m.Speed *= min(max(learned.speed(), minLearnedSpeed), maxSpeed)
	slowed, ok := p.slowed[m.Owner.Instance]
	m.Slowed = ok && now.Sub(slowed) < slowedPeriod
}

// balanceInterval returns the shortest time between two plans for balance. p.mu must be held.
func (p *planner) balanceInterval(now time.Time) time.Duration {
	for instance, at := range p.slowed {
		if now.Sub(at) >= slowedPeriod {
			delete(p.slowed, instance)
		}
	}
	if len(p.slowed) > 0 {
		return slowedBalanceInterval
	}
	return placement.DefaultConfig().BalanceInterval
}
