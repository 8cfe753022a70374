package node

import "time"

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
