package placement

import (
	"cmp"
	"slices"

	"github.com/basilway/basilway/keyrange"
)

func (p *plan) assignUnowned() {
	for _, r := range p.in.Space.Ranges() {
		if r.Owner.IsZero() {
			p.distribute(r.Span, keyrange.Owner{})
		}
	}
}

func (p *plan) drainMembers() {
	for _, r := range p.in.Space.Ranges() {
		if b := p.bins[r.Owner]; b != nil && b.Draining && !r.Moving() {
			p.distribute(r.Span, r.Owner)
		}
	}
}

// evacuateMembers moves keys away from members in evacuated availability zones, the heaviest ranges
// first, so that requests find their keys elsewhere once these members get none.
func (p *plan) evacuateMembers() {
	open := 0
	var ranges []keyrange.Range
	for _, r := range p.in.Space.Ranges() {
		b := p.bins[r.Owner]
		if b == nil || !b.Evacuated || b.Draining {
			continue
		}
		if r.Moving() {
			open++
		} else {
			ranges = append(ranges, r)
		}
	}
	slices.SortStableFunc(ranges, func(a, b keyrange.Range) int { return cmp.Compare(p.load(b.Span), p.load(a.Span)) })
	limit := max(p.config.MaxEvacuationMoves, int(p.config.EvacuationMovesPerMember*float64(len(p.ready))))
	for _, r := range ranges {
		if open >= limit {
			return
		}
		before := len(p.changes)
		p.distribute(r.Span, r.Owner)
		open += len(p.changes) - before
	}
}

// distribute splits s over the ready members with the most spare capacity.
func (p *plan) distribute(s keyrange.Span, from keyrange.Owner) {
	mean := p.mean()
	for {
		b := p.mostSpareCapacity(mean)
		end := s.To
		if room := mean*b.capacity() - b.load; room < p.load(s) {
			end = p.splitPoint(s, room)
		}
		part := keyrange.Span{From: s.From, To: end}
		p.add(Change{Span: part, From: from, To: b.Owner})
		b.load += p.load(part)
		if end == s.To {
			return
		}
		s.From = end + 1
	}
}

func (p *plan) mostSpareCapacity(mean float64) *bin {
	return slices.MaxFunc(p.ready, func(a, b *bin) int {
		return cmp.Compare(mean*a.capacity()-a.load, mean*b.capacity()-b.load)
	})
}

// splitPoint returns the last key of the longest prefix of s whose load is at most limit. The
// prefix has at least one key.
func (p *plan) splitPoint(s keyrange.Span, limit float64) uint16 {
	sum := 0.0
	i, _ := slices.BinarySearch(p.keys, s.From)
	for key := int(s.From); key <= int(s.To); key++ {
		sum += p.baseLoadPerKey
		if i < len(p.keys) && int(p.keys[i]) == key {
			sum += p.loads[p.keys[i]]
			i++
		}
		if sum > limit {
			return uint16(max(key-1, int(s.From)))
		}
	}
	return s.To
}
