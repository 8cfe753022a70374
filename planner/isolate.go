package planner

import (
	"cmp"
	"slices"
)

// isolateEarly isolates heavy keys before their member is above Trigger, heaviest first,
// and moves each to the warm member with the lowest load per slot, on which requests
// complete soonest. Fewer ranges then have to move to make room. It applies the idea of the
// paper "TailSieve: Partial-Rollout-Guided Tail Routing", arXiv 2608.22788, to hot keys.
// Only small services use it: at 1,900 nodes it moves more load and recovers later; see
// docs/POLICY.md.
func (v *view) isolateEarly(limit, n int) {
	type candidate struct {
		unit *unitView
		key  keyView
	}
	var heavy []candidate
	for i := range v.ranges {
		u := &v.ranges[i]
		if u.owner == noMember || u.moving() || v.members[u.owner].leaving {
			continue
		}
		for _, k := range u.keys {
			if k.load >= v.cfg.EarlyIsolateShare*v.fairLoad() {
				heavy = append(heavy, candidate{u, k})
			}
		}
	}
	slices.SortStableFunc(heavy, func(a, b candidate) int { return cmp.Compare(b.key.load, a.key.load) })
	for _, c := range heavy {
		if v.openMoves >= limit || v.hotCount >= v.cfg.MaxHotKeys*n {
			return
		}
		to := v.lightest(func(i int) bool { return i != c.unit.owner && v.members[i].warmShare >= 1 })
		if to == noMember {
			return
		}
		load := min(c.key.load, c.unit.load)
		from, target := &v.members[c.unit.owner], &v.members[to]
		if from.util()-target.perSlot(target.load+load) > v.cfg.MinKeyGain*v.mean {
			v.isolateAndMove(move{unit: c.unit, key: &c.key, to: to, load: load})
		}
	}
}
