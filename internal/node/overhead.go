package node

import "time"

const (
	// overheadWeight is the weight of one response in the moving average of the overhead. A
	// link fills up within a few responses.
	overheadWeight = 0.2
	// overheadHalfLife is the time without new responses after which the overhead counts
	// half, so that a node that was avoided is tried again.
	overheadHalfLife = 1500 * time.Millisecond
)

// overhead is the mean response time of a node beyond the work of its backend server.
type overhead struct {
	mean time.Duration
	at   time.Time
}

// value returns the expected overhead at now.
func (o overhead) value(now time.Time) time.Duration {
	if o.at.IsZero() {
		return 0
	}
	return time.Duration(float64(o.mean) / (1 + float64(now.Sub(o.at))/float64(overheadHalfLife)))
}

// observeOverhead adds a response to the peer's mean overhead. took is the total response
// time, work the part of it on the backend server.
func (p *peers) observeOverhead(address string, large bool, took, work time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.getLocked(address)
	o := s.overheads[large]
	measured := max(took-work, 0)
	if o.at.IsZero() {
		o.mean = measured
	}
	o.mean += time.Duration(overheadWeight * float64(measured-o.mean))
	o.at = time.Now()
	s.overheads[large] = o
}
