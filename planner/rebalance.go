package planner

import (
	"cmp"
	"slices"

	"github.com/basilway/basilway/cluster"
)

// move is a candidate move of a unit, or of a heavy key inside a range, to a new owner.
type move struct {
	unit  *unitView
	key   *keyView
	to    int
	load  float64
	ratio float64 // gain / cost
}

// rebalance opens moves away from members above Trigger, heaviest first, and then to
// members below FillThreshold, within the limit on open moves.
func (v *view) rebalance() {
	n := v.stayingMembers()
	if n < 2 || v.mean <= 0 || v.knownShare < minKnownShare {
		return
	}
	limit := max(v.cfg.MinOpenMoveLimit, int(v.cfg.MaxOpenMoveShare*float64(n)))
	if n <= smallServiceMembers {
		v.isolateEarly(limit, n)
	}
	for v.openMoves < limit {
		from := v.heaviestOverloaded()
		if from == noMember {
			break
		}
		if m, ok := v.bestMove(from, n); ok {
			v.isolateAndMove(m)
		} else {
			v.members[from].exhausted = true
		}
	}
	v.fillUnderloaded(limit, n)
}

// minKnownShare is the share of a service's hash space whose load must have been reported
// before units are moved for balance. A planner that has just taken over has no loads yet.
const minKnownShare = 0.5

func (v *view) heaviestOverloaded() int {
	best := noMember
	for i := range v.members {
		m := &v.members[i]
		if m.exhausted || m.leaving || !v.overloaded(i) {
			continue
		}
		if best == noMember || m.util() > v.members[best].util() {
			best = i
		}
	}
	return best
}

// bestMove returns the move away from member from with the highest ratio of gain to cost,
// the gain being the reduction of the excess. Moving a heavy key moves no other keys, so a
// key may bring a lightly used member above Ceiling if the excess of both members together
// falls; ranges then move away from that member to make room for the key. Placing heavy keys
// on lightly used members is an idea of the paper "TailSieve: Partial-Rollout-Guided Tail
// Routing", arXiv 2608.22788; see isolateEarly.
func (v *view) bestMove(from, n int) (move, bool) {
	m := &v.members[from]
	excess := m.util() - v.mean*v.cfg.Settle
	to := v.lightest(func(i int) bool { return i != from })
	if to == noMember {
		return move{}, false
	}
	best := move{to: to}
	t := &v.members[to]
	consider := func(u *unitView, key *keyView, load, width float64) {
		fits := v.fits(to, load)
		single := key != nil || u.id.Hot
		if load <= 0 || !fits && (!single || t.warmShare < 1) {
			return
		}
		gain := min(m.perSlot(load), excess) / v.mean
		cost := v.cfg.MoveCost + v.cfg.KeyCost*width*float64(n)
		if !fits {
			gain -= (t.perSlot(t.load+load) - v.mean*v.cfg.Settle) / v.mean
			if gain < v.cfg.MinKeyGain {
				return
			}
		}
		if gain > cost && gain/cost > best.ratio {
			best.unit, best.key, best.load, best.ratio = u, key, load, gain/cost
		}
	}
	for _, u := range m.units {
		if u.moving() {
			continue
		}
		consider(u, nil, u.load, u.width)
		for i := range u.keys {
			k := &u.keys[i]
			if k.load >= v.cfg.IsolateShare*v.fairLoad() && v.hotCount < v.cfg.MaxHotKeys*n {
				consider(u, k, min(k.load, u.load), 0)
			}
		}
	}
	return best, best.unit != nil
}

// fits reports whether member i stays within its ceiling with load added.
func (v *view) fits(i int, load float64) bool {
	m := &v.members[i]
	return m.perSlot(m.load+load) <= v.mean*v.cfg.Ceiling*m.warmShare
}

// isolateAndMove opens m. If m is for a key, it isolates the key first.
func (v *view) isolateAndMove(m move) {
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

// fillUnderloaded opens moves from the heaviest members to those below FillThreshold, so
// that new members get work before others are above Trigger.
func (v *view) fillUnderloaded(limit, n int) {
	order := make([]int, 0, len(v.members))
	for i := range v.members {
		m := &v.members[i]
		if m.eligible && m.util() < v.cfg.FillThreshold*v.mean*m.warmShare {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(v.members[a].util(), v.members[b].util()) })
	for _, to := range order {
		goal := v.mean * v.members[to].warmShare * (1 + v.cfg.FillThreshold) / 2
		for v.openMoves < limit && v.members[to].util() < goal {
			u := v.bestFill(to, goal, n)
			if u == nil {
				break
			}
			v.beginMove(u, to)
		}
	}
}

// bestFill returns a unit for member to, or nil. It comes from the heaviest member that
// can give one, and is the one with the highest ratio of gain to cost there.
func (v *view) bestFill(to int, goal float64, n int) *unitView {
	donors := make([]int, 0, len(v.members))
	for i := range v.members {
		m := &v.members[i]
		if i != to && !m.leaving && m.util() > goal && m.util()-v.members[to].util() > v.cfg.MinExcess {
			donors = append(donors, i)
		}
	}
	slices.SortStableFunc(donors, func(a, b int) int { return cmp.Compare(v.members[b].util(), v.members[a].util()) })
	for _, from := range donors[:min(len(donors), maxDonors)] {
		var best *unitView
		bestRatio := 0.0
		for _, u := range v.members[from].units {
			m, t := &v.members[from], &v.members[to]
			if u.moving() || u.load <= 0 || !v.fits(to, u.load) || m.perSlot(m.load-u.load) < t.perSlot(t.load+u.load)*v.cfg.FillThreshold {
				continue
			}
			gain := t.perSlot(u.load) / v.mean
			cost := v.cfg.MoveCost + v.cfg.KeyCost*u.width*float64(n)
			if gain > cost && gain/cost > bestRatio {
				best, bestRatio = u, gain/cost
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// maxDonors limits the members that are tried as the donor of one unit.
const maxDonors = 8

// clearHotKeys returns isolated keys with at most ClearShare of load to their ranges. It
// clears those that the range's owner owns and opens moves to that owner for the others.
func (v *view) clearHotKeys() {
	limit := v.cfg.ClearShare * v.fairLoad()
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
		rangeOwner := &v.members[r.owner]
		if !rangeOwner.leaving && v.openMoves < v.cfg.MinOpenMoveLimit {
			v.emit(cluster.Entry{Kind: cluster.EntryMoveBegun, Unit: u.id, Session: rangeOwner.member.Session})
			u.target = r.owner
			v.openMoves++
		}
		kept = append(kept, *u)
	}
	v.hot = kept
	v.updateTotals()
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
