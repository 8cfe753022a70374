package node

import "time"

const (
	// overheadWeight is the weight of one answer in the mean overhead; a link fills up
	// within some answers.
	overheadWeight = 0.2
	// overheadHalfLife is the time in which half of an overhead without new answers is
	// taken to be gone, so that a node that was avoided is tried again.
	overheadHalfLife = 1500 * time.Millisecond
)

// overhead is the mean time of a node's answers beyond the work of its backend server.
type overhead struct {
	mean time.Duration
	at   time.Time
}

// value returns the overhead to expect at now.
func (o overhead) value(now time.Time) time.Duration {
	if o.at.IsZero() {
		return 0
	}
	return time.Duration(float64(o.mean) / (1 + float64(now.Sub(o.at))/float64(overheadHalfLife)))
}

// noteOverhead takes the time that an answer took in all and on the backend server.
func (p *peers) noteOverhead(address string, large bool, took, work time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.get(address)
	o := s.overheads[large]
	over := max(took-work, 0)
	if o.at.IsZero() {
		o.mean = over
	}
	o.mean += time.Duration(overheadWeight * float64(over-o.mean))
	o.at = time.Now()
	s.overheads[large] = o
}
