package planner

import (
	"cmp"
	"slices"

	"github.com/basilway/basilway/cluster"
)

// reshape merges cold neighbours and splits ranges that are hotter than a fair share
// or too few for the members. Neither moves keys.
func (v *view) reshape() {
	changed := v.mergeCold()
	changed = v.splitHot() || changed
	if changed {
		v.sum()
	}
}

// fair is the load of a mean member.
func (v *view) fair() float64 {
	if n := v.staying(); n > 0 {
		return v.total / float64(n)
	}
	return 0
}

// mergeCold merges neighbours while there are over half more ranges than wanted.
func (v *view) mergeCold() bool {
	n := v.staying()
	spare := len(v.ranges) - n*v.rangesPerMember(n)*3/2
	limit := v.cfg.MergeShare * v.fair()
	width := 1 / float64(max(1, n)*v.rangesPerMember(max(1, n)))
	kept := v.ranges[:0]
	merges := 0
	for _, u := range v.ranges {
		if last := len(kept) - 1; last >= 0 && merges < min(spare, v.cfg.Merges) {
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

// splitHot halves ranges: the widest ones while there are under three quarters of the
// wanted number, and those of members over the trigger that are hotter than SplitShare.
func (v *view) splitHot() bool {
	n := v.staying()
	wanted := n * v.rangesPerMember(n)
	var pick []int
	if len(v.ranges) < wanted*3/4 {
		for i := range v.ranges {
			pick = append(pick, i)
		}
		slices.SortStableFunc(pick, func(a, b int) int { return cmp.Compare(v.ranges[b].width, v.ranges[a].width) })
		pick = pick[:min(len(pick), wanted-len(v.ranges), v.cfg.Splits)]
	} else if limit := v.cfg.SplitShare * v.fair(); limit > 0 && len(v.ranges) < 3*wanted {
		for i := range v.ranges {
			u := &v.ranges[i]
			if u.owner != noMember && u.load-heaviest(u) > limit && v.over(u.owner) && len(pick) < v.cfg.Splits {
				pick = append(pick, i)
			}
		}
	}
	var added []unitView
	for _, i := range pick {
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

func heaviest(u *unitView) float64 {
	most := 0.0
	for _, k := range u.keys {
		most = max(most, k.load)
	}
	return most
}

// minWidth is the least width of a range after a split. Narrower ranges hold too few
// keys to differ from a hot key.
const minWidth = 1.0 / (1 << 40)

// halve splits u in the middle and returns the right half.
func (v *view) halve(u *unitView) (unitView, bool) {
	if u.owner == noMember || u.moving() || u.width < 2*minWidth {
		return unitView{}, false
	}
	at := u.id.Start + uint64(u.width*(1<<63))
	v.emit(cluster.Entry{Kind: cluster.EntryRangeSplit, Unit: u.id, At: at})
	keys, rest, slow := u.keys, u.load, u.slow
	for _, k := range keys {
		rest -= k.load
		slow -= k.slow
	}
	u.width /= 2
	u.load, u.slow, u.keys = max(0, rest)/2, max(0, slow)/2, nil
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

// over reports whether member i is over the trigger by at least MinExcess, and either
// lastingly or over Surge.
func (v *view) over(i int) bool {
	m := &v.members[i]
	u := m.util()
	if u <= v.mean*v.cfg.Trigger || u-v.mean*v.cfg.Settle <= v.cfg.MinExcess {
		return false
	}
	return u > v.mean*v.cfg.Surge || m.use(m.slow) > v.slowMean*v.cfg.Trigger
}
