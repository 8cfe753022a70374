package ownership

import (
	"cmp"
	"math"
	"slices"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/dedupe"
)

// layoutUnit is a unit of the cluster state with the hashes that it covers.
type layoutUnit struct {
	unit cluster.Unit
	span dedupe.Span
	cluster.Ownership
}

// layout returns the units of a service for which keep returns true: first ranges, then
// hot keys, each in the order of the cluster state.
func layout(state *cluster.State, service string, keep func(*cluster.Ownership) bool) []layoutUnit {
	svc := state.Services[service]
	if svc == nil {
		return nil
	}
	var out []layoutUnit
	for i := range svc.Ranges {
		r := &svc.Ranges[i]
		if !keep(&r.Ownership) {
			continue
		}
		last := uint64(math.MaxUint64)
		if i+1 < len(svc.Ranges) {
			last = svc.Ranges[i+1].Start - 1
		}
		out = append(out, layoutUnit{
			unit:      cluster.Unit{Service: service, Start: r.Start},
			span:      dedupe.Span{Service: service, First: r.Start, Last: last},
			Ownership: r.Ownership,
		})
	}
	for i := range svc.HotKeys {
		h := &svc.HotKeys[i]
		if !keep(&h.Ownership) {
			continue
		}
		out = append(out, layoutUnit{
			unit:      cluster.Unit{Service: service, Start: h.Hash, Hot: true},
			span:      dedupe.Span{Service: service, First: h.Hash, Last: h.Hash, Hot: true},
			Ownership: h.Ownership,
		})
	}
	return out
}

func anyOwnership(*cluster.Ownership) bool { return true }

// ownedOrReceivedBy returns a filter for the units that self owns or that are moving to
// it.
func ownedOrReceivedBy(self cluster.Session) func(*cluster.Ownership) bool {
	return func(o *cluster.Ownership) bool { return o.Owner == self || o.MovingTo == self }
}

// boundaries returns the fields of SetUnits for units: the starts of the ranges and of
// the ranges after them, and the hot keys among units or inside the ranges. all lists
// the hot keys of the service in order.
func boundaries(units []layoutUnit, all []cluster.HotKey) (starts, hot []uint64) {
	for _, p := range units {
		if p.unit.Hot {
			hot = append(hot, p.unit.Start)
			continue
		}
		if n := len(starts); n == 0 || starts[n-1] != p.span.First {
			starts = append(starts, p.span.First)
		}
		if p.span.Last != math.MaxUint64 {
			starts = append(starts, p.span.Last+1)
		}
		first, _ := slices.BinarySearchFunc(all, p.span.First, func(h cluster.HotKey, at uint64) int {
			return cmp.Compare(h.Hash, at)
		})
		for _, h := range all[first:] {
			if h.Hash > p.span.Last {
				break
			}
			hot = append(hot, h.Hash)
		}
	}
	slices.Sort(hot)
	return starts, slices.Compact(hot)
}
