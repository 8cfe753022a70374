package planner

import (
	"cmp"
	"slices"

	"github.com/basilway/basilway/cluster"
)

// reshape merges adjacent ranges with little load and splits ranges with much load, or the
// widest ones if there are too few for the members. Neither moves keys.
func (v *view) reshape() {
	changed := v.mergeRanges()
	changed = v.splitRanges() || changed
	if changed {
		v.updateTotals()
	}
}

// fairLoad returns the mean load of the staying members, in slots.
func (v *view) fairLoad() float64 {
	if n := v.stayingMembers(); n > 0 {
		return v.total / float64(n)
	}
	return 0
}

// mergeRanges merges adjacent ranges of the same owner whose load together is below
// MergeShare, while the service has more than 1.5 times the wanted number of ranges.
func (v *view) mergeRanges() bool {
	n := v.stayingMembers()
	surplus := len(v.ranges) - n*v.rangesPerMember(n)*3/2
	limit := v.cfg.MergeShare * v.fairLoad()
	width := 1 / float64(max(1, n)*v.rangesPerMember(max(1, n)))
	kept := v.ranges[:0]
	merges := 0
	for _, u := range v.ranges {
		if last := len(kept) - 1; last >= 0 && merges < min(surplus, v.cfg.MaxMerges) {
			left := &kept[last]
			if left.owner == u.owner && u.owner != noMember && !left.moving() && !u.moving() &&
				left.load+u.load < limit && left.width+u.width <= width {
				v.emit(cluster.Entry{Kind: cluster.EntryRangeMerged, Unit: u.id})
				left.load, left.width, left.slow = left.load+u.load, left.width+u.width, left.slow+u.slow
				left.keys = append(left.keys, u.keys...)
				merges++
				continue
			}
		}
		kept = append(kept, u)
	}
	v.ranges = kept
	return merges > 0
}

// splitRanges halves ranges: the widest ones while there are fewer than three quarters of
// the wanted number, otherwise those of overloaded members whose load without the heaviest
// key is above SplitShare.
func (v *view) splitRanges() bool {
	n := v.stayingMembers()
	wanted := n * v.rangesPerMember(n)
	var picked []int
	if len(v.ranges) < wanted*3/4 {
		for i := range v.ranges {
			picked = append(picked, i)
		}
		slices.SortStableFunc(picked, func(a, b int) int { return cmp.Compare(v.ranges[b].width, v.ranges[a].width) })
		picked = picked[:min(len(picked), wanted-len(v.ranges), v.cfg.MaxSplits)]
	} else if limit := v.cfg.SplitShare * v.fairLoad(); limit > 0 && len(v.ranges) < 3*wanted {
		for i := range v.ranges {
			u := &v.ranges[i]
			if u.owner != noMember && u.load-heaviestKeyLoad(u) > limit && v.overloaded(u.owner) && len(picked) < v.cfg.MaxSplits {
				picked = append(picked, i)
			}
		}
	}
	var added []unitView
	for _, i := range picked {
		if right, ok := v.halve(&v.ranges[i]); ok {
			added = append(added, right)
		}
	}
	if len(added) == 0 {
		return false
	}
	v.ranges = append(v.ranges, added...)
	slices.SortFunc(v.ranges, func(a, b unitView) int { return cmp.Compare(a.id.Start, b.id.Start) })
	return true
}

func heaviestKeyLoad(u *unitView) float64 {
	most := 0.0
	for _, k := range u.keys {
		most = max(most, k.load)
	}
	return most
}

// minRangeWidth is the smallest width of a range after a split, as a share of the hash
// space. Narrower ranges hold too few keys to differ from a hot key.
const minRangeWidth = 1.0 / (1 << 40)

// halve splits u in the middle and returns the right half. Heavy keys keep their load; the
// rest is divided equally. It returns false if u has no owner, is moving or is too narrow.
func (v *view) halve(u *unitView) (unitView, bool) {
	if u.owner == noMember || u.moving() || u.width < 2*minRangeWidth {
		return unitView{}, false
	}
	at := u.id.Start + uint64(u.width*(1<<63))
	v.emit(cluster.Entry{Kind: cluster.EntryRangeSplit, Unit: u.id, At: at})
	keys, remaining, slow := u.keys, u.load, u.slow
	for _, k := range keys {
		remaining -= k.load
		slow -= k.slow
	}
	u.width /= 2
	u.load, u.slow, u.keys = max(0, remaining)/2, max(0, slow)/2, nil
	right := *u
	right.id.Start = at
	for _, k := range keys {
		half := u
		if k.hash >= at {
			half = &right
		}
		half.keys = append(half.keys, k)
		half.load += k.load
		half.slow += k.slow
	}
	return right, true
}

// overloaded reports whether member i is above Trigger, with an excess over Settle of more
// than MinExcess, and is also above ImmediateTrigger or above Trigger by its slow estimate.
func (v *view) overloaded(i int) bool {
	m := &v.members[i]
	u := m.util()
	if u <= v.mean*v.cfg.Trigger || u-v.mean*v.cfg.Settle <= v.cfg.MinExcess {
		return false
	}
	return u > v.mean*v.cfg.ImmediateTrigger || m.perSlot(m.slow) > v.slowMean*v.cfg.Trigger
}
