package ownership

import (
	"math"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/dedupe"
)

// placed is a unit of the cluster state with the hashes that it covers.
type placed struct {
	unit cluster.Unit
	span dedupe.Span
	cluster.Ownership
}

// layout returns the units of a service: ranges in order, then hot keys.
func layout(state *cluster.State, service string) []placed {
	svc := state.Services[service]
	if svc == nil {
		return nil
	}
	out := make([]placed, 0, len(svc.Ranges)+len(svc.HotKeys))
	for i, r := range svc.Ranges {
		last := uint64(math.MaxUint64)
		if i+1 < len(svc.Ranges) {
			last = svc.Ranges[i+1].Start - 1
		}
		out = append(out, placed{
			unit:      cluster.Unit{Service: service, Start: r.Start},
			span:      dedupe.Span{Service: service, First: r.Start, Last: last},
			Ownership: r.Ownership,
		})
	}
	for _, h := range svc.HotKeys {
		out = append(out, placed{
			unit:      cluster.Unit{Service: service, Start: h.Hash, Hot: true},
			span:      dedupe.Span{Service: service, First: h.Hash, Last: h.Hash, Hot: true},
			Ownership: h.Ownership,
		})
	}
	return out
}

// boundaries returns what SetUnits passes for the units that self owns or receives:
// the starts of their ranges and of the ranges after them, and their hot keys
// together with all hot keys inside their ranges.
func boundaries(units []placed, self cluster.Session) (starts, hot []uint64) {
	near := func(p placed) bool { return p.Owner == self || p.MovingTo == self }
	var ranges []placed
	for _, p := range units {
		if !p.unit.Hot {
			if near(p) {
				ranges = append(ranges, p)
				if n := len(starts); n == 0 || starts[n-1] != p.span.First {
					starts = append(starts, p.span.First)
				}
				if p.span.Last != math.MaxUint64 {
					starts = append(starts, p.span.Last+1)
				}
			}
			continue
		}
		inside := near(p)
		for i := 0; i < len(ranges) && !inside; i++ {
			inside = ranges[i].span.First <= p.unit.Start && p.unit.Start <= ranges[i].span.Last
		}
		if inside {
			hot = append(hot, p.unit.Start)
		}
	}
	return starts, hot
}
