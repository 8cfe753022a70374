// Package planner decides which daemon owns which range and hot key. A LoadModel
// estimates loads from the daemons' reports, and Plan turns a cluster state and a load
// model into entries of the cluster feed. Both are pure: they have no clock, goroutine
// or I/O, and equal input gives equal output.
package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/ownership"
)

// Plan returns the entries to commit next, or none. It synchronizes load with state
// first. The entries are accepted by state.Check and begin with MemberFenced for each
// session of losses that is a member; the OwnerSet entries of all units without an
// owner follow, so that they commit in the same transaction.
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
			v.create()
		} else {
			v.assign()
			v.cancel(load)
			v.reshape()
			v.evacuate()
			v.clearHotKeys()
			v.rebalance()
			v.spread()
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

// create makes the first ranges, of equal width, and deals them out in turn.
func (v *view) create() {
	n := v.staying()
	if n == 0 {
		return
	}
	count := uint64(n * v.rangesPerMember(n))
	step := ^uint64(0)/count + 1
	var given = make([]float64, len(v.members))
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
			if best == noMember || v.members[m].use(given[m]) < v.members[best].use(given[best]) {
				best = m
			}
		}
		if best == noMember {
			return
		}
		given[best]++
		v.emit(cluster.Entry{
			Kind: cluster.EntryOwnerSet, Unit: cluster.Unit{Service: v.name, Start: start},
			Session: v.members[best].member.Session,
		})
	}
}

// smallService is the number of members up to which a service has twice the ranges: a
// range is a larger part of the excess there, and the state is small anyway.
const smallService = 64

func (v *view) rangesPerMember(members int) int {
	n := max(1, v.cfg.RangesPerMember)
	if members <= smallService {
		n *= 2
	}
	return n
}

// assign gives each unit without an owner to the lightest member, heaviest unit first.
func (v *view) assign() {
	var orphans []*unitView
	v.each(func(u *unitView) {
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
		to := v.target(avoid)
		if to == noMember {
			return
		}
		floor := v.floorMS
		if floor == 0 && u.epoch != 0 {
			// The old lease had ended by now, because the unit has no owner.
			floor = v.now.Add(ownership.DefaultFloorMargin).UnixMilli()
		}
		m := &v.members[to]
		v.emit(cluster.Entry{Kind: cluster.EntryOwnerSet, Unit: u.id, Session: m.member.Session, FloorMS: floor})
		u.owner = to
		m.load += weight(u, v.total)
	}
	v.sum()
}

// weight is the load by which units without a known load are spread too.
func weight(u *unitView, total float64) float64 {
	return u.load + u.width*max(total, 1)*0.1
}

func sortByWeight(units []*unitView, total float64) {
	slices.SortStableFunc(units, func(a, b *unitView) int {
		return cmp.Or(cmp.Compare(weight(b, total), weight(a, total)), cmp.Compare(a.id.Start, b.id.Start))
	})
}

// target returns the lightest member outside the zones to avoid; failing that any
// eligible member, then any member whose backend server is up.
func (v *view) target(avoid map[string]bool) int {
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

// lostZones returns the availability zones of which a share of at least ZoneLost is
// fenced or down: what is left of them is likely to go next.
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
		out[zone] = n > 1 && float64(n) >= v.cfg.ZoneLost*float64(all[zone])
	}
	return out
}

// cancel closes moves to members that cannot take the unit any more, and moves that
// their owner did not release within MoveTimeout.
func (v *view) cancel(load *LoadModel) {
	changed := false
	v.each(func(u *unitView) {
		if !u.moving() || u.owner == noMember {
			return
		}
		begun, ok := load.moves[u.id]
		late := ok && v.now.Sub(begun) > v.cfg.MoveTimeout
		if late || v.members[u.target].leaving {
			v.emit(cluster.Entry{Kind: cluster.EntryMoveCancelled, Unit: u.id})
			u.target = noMember
			changed = true
		}
	})
	if changed {
		v.sum()
	}
}

// evacuate opens moves of all units of members that leave, heaviest first.
func (v *view) evacuate() {
	var units []*unitView
	v.each(func(u *unitView) {
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
		if v.urgentMoves >= v.cfg.UrgentMoves {
			break
		}
		to := v.target(avoid)
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
