package planner

import (
	"cmp"
	"slices"
)

// isolateHeavy isolates heavy keys before their member is over the trigger, heaviest
// first, each to the member on which requests complete soonest. With equal slots that
// is the lightest one. Ranges then move less, because the room is made where least is
// in use. Method: the idea of the paper "TailSieve: Partial-Rollout-Guided Tail
// Routing", arXiv 2608.22788, applied to hot keys. It is used in small services only:
// at 1,900 nodes it moves more load and recovers later, see docs/POLICY.md.
func (v *view) isolateHeavy(limit, n int) {
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
			if k.load >= v.cfg.HeavyShare*v.fair() {
				heavy = append(heavy, candidate{u, k})
			}
		}
	}
	slices.SortStableFunc(heavy, func(a, b candidate) int { return cmp.Compare(b.key.load, a.key.load) })
	for _, c := range heavy {
		if v.openMoves >= limit || v.hotCount >= v.cfg.MaxHotKeys*n {
			return
		}
		to := v.lightest(func(i int) bool { return i != c.unit.owner && v.members[i].limit >= 1 })
		if to == noMember {
			return
		}
		load := min(c.key.load, c.unit.load)
		from, target := &v.members[c.unit.owner], &v.members[to]
		if from.util()-target.use(target.load+load) > v.cfg.KeyOverGain*v.mean {
			v.begin(move{unit: c.unit, key: &c.key, to: to, load: load})
		}
	}
}
