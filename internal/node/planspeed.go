package node

import "time"

const (
	// minSpeed and maxSpeed bound the speed that is taken from measurements.
	minSpeed, maxSpeed = 0.4, 2.0
)

// speed compares a backend server's times with the mean of its service, route by route.
func (p *planner) speed(members []Member, m Member) float64 {
	sum, n := 0.0, 0
	for route, own := range p.works[m.Owner.Instance] {
		total, count := time.Duration(0), 0
		for _, other := range members {
			if w := p.works[other.Owner.Instance][route]; w > 0 {
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
