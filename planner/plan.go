// Package planner decides which daemon owns which range and hot key. A LoadModel
// estimates loads from the daemons' reports, and Plan turns a cluster state and a load
// model into entries of the cluster feed. Both are deterministic: they use no clock,
// goroutine or I/O, and equal input gives equal output.
package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/ownership"
)

// Plan returns the entries to commit next, or none. It synchronizes load with state
// first. The entries pass state.Check. They begin with MemberFenced for each session of
// losses that is a member; OwnerSet entries for all units without an owner follow, so
// both commit in the same transaction.
//
// A unit stays without an owner only while its service has no member that can take it.
func Plan(state *cluster.State, load *LoadModel, cfg Config, losses Losses, now time.Time) []cluster.Entry {
	load.Sync(state, now)
	load.Expire(now)
	var entries []cluster.Entry
	seen := map[cluster.Session]bool{}
	for _, s := range losses.Fenced {
		if _, ok := state.Members[s]; ok && !seen[s] {
			entries = append(entries, cluster.Entry{Kind: cluster.EntryMemberFenced, Session: s})
			seen[s] = true
		}
	}
	members := state.SortedMembers()
	for _, name := range serviceNames(state, members) {
		v := newView(name, state, members, load, cfg, losses, now)
		if len(v.ranges) == 0 {
			v.createRanges()
		} else {
			v.assignOrphans()
			v.cancelMoves(load)
			v.reshape()
			v.evacuate()
			v.clearHotKeys()
			v.rebalance()
			v.spreadIdle()
		}
		entries = append(entries, v.entries...)
	}
	return entries
}

func serviceNames(state *cluster.State, members []cluster.Member) []string {
	var names []string
	for name := range state.Services {
		names = append(names, name)
	}
	for _, m := range members {
		if m.Service != "" {
			names = append(names, m.Service)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// createRanges creates the first ranges, of equal width, and assigns each to the eligible
// member with the fewest ranges per slot.
func (v *view) createRanges() {
	n := v.stayingMembers()
	if n == 0 {
		return
	}
	count := uint64(n * v.rangesPerMember(n))
	step := ^uint64(0)/count + 1
	var assigned = make([]float64, len(v.members))
	for i := range count {
		start := i * step
		if count == 1 {
			start = 0
		}
		best := noMember
		for m := range v.members {
			if !v.members[m].eligible {
				continue
			}
			if best == noMember || v.members[m].perSlot(assigned[m]) < v.members[best].perSlot(assigned[best]) {
				best = m
			}
		}
		if best == noMember {
			return
		}
		assigned[best]++
		v.emit(cluster.Entry{
			Kind: cluster.EntryOwnerSet, Unit: cluster.Unit{Service: v.name, Start: start},
			Session: v.members[best].member.Session,
		})
	}
}

// smallServiceMembers is the number of members up to which a service has twice as many
// ranges per member: one range is a larger part of the excess there, and the state is
// small anyway.
const smallServiceMembers = 64

func (v *view) rangesPerMember(members int) int {
	n := max(1, v.cfg.RangesPerMember)
	if members <= smallServiceMembers {
		n *= 2
	}
	return n
}

// assignOrphans gives each unit without an owner to the lightest member, heaviest unit
// first.
func (v *view) assignOrphans() {
	var orphans []*unitView
	v.eachUnit(func(u *unitView) {
		if u.owner == noMember {
			orphans = append(orphans, u)
		}
	})
	if len(orphans) == 0 {
		return
	}
	sortByWeight(orphans, v.total)
	avoid := v.lostZones()
	for _, u := range orphans {
		to := v.chooseTarget(avoid)
		if to == noMember {
			return
		}
		floor := v.floorMS
		if floor == 0 && u.epoch != 0 {
			// The unit has no owner, so the lease of its last one has ended by now.
			floor = v.now.Add(ownership.DefaultFloorMargin).UnixMilli()
		}
		m := &v.members[to]
		v.emit(cluster.Entry{Kind: cluster.EntryOwnerSet, Unit: u.id, Session: m.member.Session, FloorMS: floor})
		u.owner = to
		m.load += weight(u, v.total)
	}
	v.updateTotals()
}

// weight returns the load of u plus its share, by width, of a tenth of the total load, which
// counts as at least one slot. The addition spreads units without a known load, too.
func weight(u *unitView, total float64) float64 {
	return u.load + u.width*max(total, 1)*0.1
}

func sortByWeight(units []*unitView, total float64) {
	slices.SortStableFunc(units, func(a, b *unitView) int {
		return cmp.Or(cmp.Compare(weight(b, total), weight(a, total)), cmp.Compare(a.id.Start, b.id.Start))
	})
}

// chooseTarget returns the lightest eligible member outside the zones in avoid; failing
// that the lightest eligible one, then the first member that is not leaving.
func (v *view) chooseTarget(avoid map[string]bool) int {
	to := v.lightest(func(i int) bool { return !avoid[v.members[i].member.Zone] })
	if to == noMember {
		to = v.lightest(nil)
	}
	for i := range v.members {
		m := &v.members[i]
		if to == noMember && m.serves && !m.leaving {
			to = i
		}
	}
	return to
}

// lostZones returns the availability zones in which more than one member, and at least
// ZoneLostShare of the members, are fenced or down. The other members of such a zone are
// likely to fail next.
func (v *view) lostZones() map[string]bool {
	all, lost := map[string]int{}, map[string]int{}
	for i := range v.members {
		m := &v.members[i]
		if m.serves {
			all[m.member.Zone]++
			if m.leaving && m.member.State != cluster.MemberDraining {
				lost[m.member.Zone]++
			}
		}
	}
	for zone, n := range v.fencedZones {
		all[zone] += n
		lost[zone] += n
	}
	out := map[string]bool{}
	for zone, n := range lost {
		out[zone] = n > 1 && float64(n) >= v.cfg.ZoneLostShare*float64(all[zone])
	}
	return out
}

// cancelMoves cancels moves to members that can no longer take the unit, and moves whose
// owner did not release the unit within MoveTimeout.
func (v *view) cancelMoves(load *LoadModel) {
	changed := false
	v.eachUnit(func(u *unitView) {
		if !u.moving() || u.owner == noMember {
			return
		}
		begun, ok := load.moveSeen[u.id]
		late := ok && v.now.Sub(begun) > v.cfg.MoveTimeout
		if late || v.members[u.target].leaving {
			v.emit(cluster.Entry{Kind: cluster.EntryMoveCancelled, Unit: u.id})
			u.target = noMember
			changed = true
		}
	})
	if changed {
		v.updateTotals()
	}
}

// evacuate opens moves of all units of leaving members, heaviest first, up to
// MaxUrgentMoves.
func (v *view) evacuate() {
	var units []*unitView
	v.eachUnit(func(u *unitView) {
		if u.owner != noMember && !u.moving() && v.members[u.owner].leaving {
			units = append(units, u)
		}
	})
	if len(units) == 0 {
		return
	}
	sortByWeight(units, v.total)
	avoid := v.lostZones()
	extra := make([]float64, len(v.members))
	for _, u := range units {
		if v.urgentMoves >= v.cfg.MaxUrgentMoves {
			break
		}
		to := v.chooseTarget(avoid)
		if to == noMember || v.members[to].leaving {
			break
		}
		v.beginMove(u, to)
		add := weight(u, v.total) - u.load
		v.members[to].load += add
		extra[to] += add
	}
	for i := range extra {
		v.members[i].load -= extra[i]
	}
}
