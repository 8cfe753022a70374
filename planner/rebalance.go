package planner

import (
	"cmp"
	"slices"

	"github.com/basilway/basilway/cluster"
)

// move is a candidate: a unit, or a heavy key inside a range, and its new owner.
type move struct {
	unit  *unitView
	key   *keyView
	to    int
	load  float64
	value float64 // gain for each cost
}

// rebalance opens moves from members over the trigger, heaviest first, and to members
// under Low, while the bound on open moves allows.
func (v *view) rebalance() {
	n := v.staying()
	if n < 2 || v.mean <= 0 || v.known < minKnown {
		return
	}
	limit := max(v.cfg.MinOpenMoves, int(v.cfg.OpenMoves*float64(n)))
	if n <= smallService {
		v.isolateHeavy(limit, n)
	}
	for v.openMoves < limit {
		from := v.heaviestOver()
		if from == noMember {
			break
		}
		if m, ok := v.bestMove(from, n); ok {
			v.begin(m)
		} else {
			v.members[from].done = true
		}
	}
	v.fill(limit, n)
}

// minKnown is the share of a service's width that must have been reported before units
// are moved for balance. A planner that has just taken over has no loads yet.
const minKnown = 0.5

func (v *view) heaviestOver() int {
	best := noMember
	for i := range v.members {
		m := &v.members[i]
		if m.done || m.leaving || !v.over(i) {
			continue
		}
		if best == noMember || m.util() > v.members[best].util() {
			best = i
		}
	}
	return best
}

// bestMove returns the move away from member from that gains the most excess for its
// cost. Moving a heavy key moves no other keys, so it may bring a lightly used member
// over the ceiling if the excess of both members together falls; ranges of the less
// loaded member then make the rest of the room. Placing heavy keys on lightly used
// members is an idea of the paper "TailSieve: Partial-Rollout-Guided Tail Routing",
// arXiv 2608.22788, see isolateHeavy.
func (v *view) bestMove(from, n int) (move, bool) {
	m := &v.members[from]
	excess := m.util() - v.mean*v.cfg.Settle
	to := v.lightest(func(i int) bool { return i != from })
	if to == noMember {
		return move{}, false
	}
	best := move{to: to}
	t := &v.members[to]
	try := func(u *unitView, key *keyView, load, width float64) {
		fits := v.fits(to, load)
		single := key != nil || u.id.Hot
		if load <= 0 || !fits && (!single || t.limit < 1) {
			return
		}
		gain := min(m.use(load), excess) / v.mean
		cost := v.cfg.MoveCost + v.cfg.KeyCost*width*float64(n)
		if !fits {
			gain -= (t.use(t.load+load) - v.mean*v.cfg.Settle) / v.mean
			if gain < v.cfg.KeyOverGain {
				return
			}
		}
		if gain > cost && gain/cost > best.value {
			best.unit, best.key, best.load, best.value = u, key, load, gain/cost
		}
	}
	for _, u := range m.units {
		if u.moving() {
			continue
		}
		try(u, nil, u.load, u.width)
		for i := range u.keys {
			k := &u.keys[i]
			if k.load >= v.cfg.IsolateShare*v.fair() && v.hotCount < v.cfg.MaxHotKeys*n {
				try(u, k, min(k.load, u.load), 0)
			}
		}
	}
	return best, best.unit != nil
}

// fits reports whether member i stays under its ceiling with load more.
func (v *view) fits(i int, load float64) bool {
	m := &v.members[i]
	return m.use(m.load+load) <= v.mean*v.cfg.Ceiling*m.limit
}

// begin opens the move, isolating its key first.
func (v *view) begin(m move) {
	if m.key == nil {
		v.beginMove(m.unit, m.to)
		return
	}
	id := cluster.Unit{Service: v.name, Start: m.key.hash, Hot: true}
	v.emit(cluster.Entry{Kind: cluster.EntryHotKeyIsolated, Unit: id})
	hot := &unitView{id: id, owner: m.unit.owner, target: noMember, load: m.load, slow: min(m.key.slow, m.unit.slow)}
	m.unit.load = max(0, m.unit.load-m.load)
	m.unit.slow -= hot.slow
	m.unit.keys = slices.DeleteFunc(m.unit.keys, func(k keyView) bool { return k.hash == id.Start })
	v.hotCount++
	owner := &v.members[hot.owner]
	owner.units = append(owner.units, hot)
	v.beginMove(hot, m.to)
}

// fill opens moves to members under Low, from the heaviest members, so that members
// that joined get work before others are over the trigger.
func (v *view) fill(limit, n int) {
	order := make([]int, 0, len(v.members))
	for i := range v.members {
		m := &v.members[i]
		if m.eligible && m.util() < v.cfg.Low*v.mean*m.limit {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(v.members[a].util(), v.members[b].util()) })
	for _, to := range order {
		goal := v.mean * v.members[to].limit * (1 + v.cfg.Low) / 2
		for v.openMoves < limit && v.members[to].util() < goal {
			u := v.bestFill(to, goal, n)
			if u == nil {
				break
			}
			v.beginMove(u, to)
		}
	}
}

// bestFill returns the unit of the heaviest member that can give one to member to, of
// most load for its keys.
func (v *view) bestFill(to int, goal float64, n int) *unitView {
	givers := make([]int, 0, len(v.members))
	for i := range v.members {
		m := &v.members[i]
		if i != to && !m.leaving && m.util() > goal && m.util()-v.members[to].util() > v.cfg.MinExcess {
			givers = append(givers, i)
		}
	}
	slices.SortStableFunc(givers, func(a, b int) int { return cmp.Compare(v.members[b].util(), v.members[a].util()) })
	for _, from := range givers[:min(len(givers), fillGivers)] {
		var best *unitView
		value := 0.0
		for _, u := range v.members[from].units {
			m, t := &v.members[from], &v.members[to]
			if u.moving() || u.load <= 0 || !v.fits(to, u.load) || m.use(m.load-u.load) < t.use(t.load+u.load)*v.cfg.Low {
				continue
			}
			gain := t.use(u.load) / v.mean
			cost := v.cfg.MoveCost + v.cfg.KeyCost*u.width*float64(n)
			if gain > cost && gain/cost > value {
				best, value = u, gain/cost
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// fillGivers bounds the members that are tried as the giver of one unit.
const fillGivers = 8

// clearHotKeys clears cold hot keys that their range's owner owns, and moves other cold
// ones back to it.
func (v *view) clearHotKeys() {
	limit := v.cfg.ClearShare * v.fair()
	kept := v.hot[:0]
	for i := range v.hot {
		u := &v.hot[i]
		r := v.rangeOf(u.id.Start)
		if u.load > limit || u.owner == noMember || u.moving() || r == nil || r.owner == noMember || r.moving() {
			kept = append(kept, *u)
			continue
		}
		if u.owner == r.owner {
			v.emit(cluster.Entry{Kind: cluster.EntryHotKeyCleared, Unit: u.id})
			r.load += u.load
			r.slow += u.slow
			v.hotCount--
			continue
		}
		home := &v.members[r.owner]
		if !home.leaving && v.openMoves < v.cfg.MinOpenMoves {
			v.emit(cluster.Entry{Kind: cluster.EntryMoveBegun, Unit: u.id, Session: home.member.Session})
			u.target = r.owner
			v.openMoves++
		}
		kept = append(kept, *u)
	}
	v.hot = kept
	v.sum()
}

func (v *view) rangeOf(hash uint64) *unitView {
	i, ok := slices.BinarySearchFunc(v.ranges, hash, func(u unitView, t uint64) int { return cmp.Compare(u.id.Start, t) })
	if !ok {
		i--
	}
	if i < 0 {
		return nil
	}
	return &v.ranges[i]
}
