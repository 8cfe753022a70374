package placement

import (
	"cmp"
	"slices"

	"github.com/basilway/basilway/keyrange"
)

// moveLimits returns how many moves a plan may add, and how many may be open at once.
func (p *plan) moveLimits() (moves, open int) {
	return max(p.config.MaxMoves, int(p.config.MovesPerMember*float64(len(p.ready)))),
		max(p.config.MaxOpenMoves, int(p.config.OpenMovesPerMember*float64(len(p.ready))))
}

// consolidation is a span that may go to the owner of the keys beside it.
type consolidation struct {
	span keyrange.Span
	to   *bin
	load float64
	// between is set if the keys on both sides have that owner.
	between bool
}

// consolidate moves the smallest spans of members with more than MaxSpans to the owners of the keys beside them, as long
// as that makes nobody busier than the members are on average. Each move takes a span from one member and adds none to
// another.
func (p *plan) consolidate() {
	maxMoves, maxOpen := p.moveLimits()
	mean := p.mean()
	for _, from := range p.ready {
		spans := stableSpans(p.in.Space.OwnedBy(from.Owner))
		excess := len(spans) - p.config.MaxSpans
		if excess <= 0 {
			continue
		}
		for _, c := range p.consolidations(from, spans) {
			if excess <= 0 || len(p.changes) >= maxMoves || p.open >= maxOpen {
				break
			}
			if (c.to.load+c.load)/c.to.capacity() > max(mean, c.to.utilization()+p.config.Target) || len(p.untouched(p.withNeighbours(c.span))) != 1 {
				continue
			}
			p.add(Change{Span: c.span, From: from.Owner, To: c.to.Owner})
			p.open++
			excess--
			from.load -= c.load
			c.to.load += c.load
		}
	}
}

// consolidations returns the spans of a member that another ready member has keys beside: those between two spans of one
// member first, then those with the least load and the fewest keys.
func (p *plan) consolidations(from *bin, spans []keyrange.Span) []consolidation {
	var out []consolidation
	for _, s := range spans {
		before, after := p.neighbour(int(s.From)-1, from), p.neighbour(int(s.To)+1, from)
		to := before
		if to == nil || after != nil && after.utilization() < to.utilization() {
			to = after
		}
		if to != nil {
			out = append(out, consolidation{span: s, to: to, load: p.load(s), between: before == after})
		}
	}
	slices.SortStableFunc(out, func(a, b consolidation) int {
		if a.between != b.between {
			if a.between {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.load, b.load), cmp.Compare(a.span.Keys(), b.span.Keys()))
	})
	return out
}

// neighbour returns the ready member other than from that owns key and keeps it, or nil.
func (p *plan) neighbour(key int, from *bin) *bin {
	if key < 0 || key > keyrange.MaxKey {
		return nil
	}
	r := p.in.Space.Find(uint16(key))
	b := p.bins[r.Owner]
	if b == nil || b == from || b.leaving() || b.Cold || r.Moving() {
		return nil
	}
	return b
}

// withNeighbours returns the span with the keys beside it.
func (p *plan) withNeighbours(s keyrange.Span) keyrange.Span {
	return keyrange.Span{From: uint16(max(int(s.From)-1, 0)), To: uint16(min(int(s.To)+1, keyrange.MaxKey))}
}
