package ownership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/basilway/basilway/cluster"
)

// applyState applies a newer cluster state.
func (m *Machine) applyState(next *cluster.State, now time.Time) {
	prev := m.state
	old := m.units
	m.state, m.units, m.order = next, map[cluster.Unit]*unit{}, nil
	for _, service := range slices.Sorted(maps.Keys(next.Services)) {
		units := layout(next, service, ownedOrReceivedBy(m.config.Self))
		for _, p := range units {
			if p.Owner == m.config.Self {
				u := m.updateUnit(p, prev, old, now)
				m.units[u.id] = u
				m.order = append(m.order, u)
			}
		}
		m.updateSetUnits(service, units)
	}
	m.replaceSharedCounters(old)
	m.dropEarlyHandovers()
	_, member := next.Members[m.config.Self]
	if m.joined && !member && !m.removed {
		m.removed = true
		m.emit(SessionRemoved{})
	}
	m.joined = m.joined || member
}

// updateUnit returns the unit for p: the old one, one reshaped from old ones, or a newly
// acquired one.
func (m *Machine) updateUnit(p layoutUnit, prev *cluster.State, old map[cluster.Unit]*unit, now time.Time) *unit {
	preds := m.predecessors(p, old)
	var u *unit
	switch kept := p.Epoch <= prev.Version && covers(preds, p); {
	case kept && len(preds) == 1 && preds[0].id == p.unit && preds[0].span == p.span:
		u = preds[0]
	case kept:
		u = m.reshape(p, preds, now)
	default:
		u = m.acquire(p, prev, now)
		for _, o := range preds {
			u.inherit(o)
		}
	}
	u.epoch, u.floorMS = p.Epoch, max(u.floorMS, p.FloorMS)
	m.updateMove(u, p, now)
	return u
}

// updateMove applies the start, change or end of the unit's move.
func (m *Machine) updateMove(u *unit, p layoutUnit, now time.Time) {
	switch {
	case !p.MovingTo.IsZero() && (u.move != p.MoveVersion || u.phase == awaitingHandover):
		if u.phase == awaitingHandover {
			m.serveWithFloor(u, now)
		}
		u.move, u.to = p.MoveVersion, p.MovingTo
		u.enter(draining, now)
	case p.MovingTo.IsZero() && u.phase > serving:
		u.enter(serving, now)
	}
}

// predecessors returns the old units whose requests in flight may belong to p, ordered
// by their first hash.
func (m *Machine) predecessors(p layoutUnit, old map[cluster.Unit]*unit) []*unit {
	if u := old[p.unit]; u != nil && p.unit.Hot {
		return []*unit{u}
	}
	var out []*unit
	for _, o := range old {
		if !(&unit{id: p.unit, span: p.span}).overlaps(o) {
			continue
		}
		if _, stays := m.state.Get(o.id); o.id.Hot && (p.unit.Hot || stays) {
			continue
		}
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b *unit) int { return cmp.Compare(a.span.First, b.span.First) })
	return out
}

// covers reports whether the ranges among preds cover all hashes of p. For a hot key,
// any predecessor is enough, because each contains it.
func covers(preds []*unit, p layoutUnit) bool {
	if p.unit.Hot {
		return len(preds) > 0
	}
	next := p.span.First
	for _, o := range preds {
		if o.id.Hot {
			continue
		}
		if o.span.First > next {
			return false
		}
		if o.span.Last >= p.span.Last {
			return true
		}
		next = max(next, o.span.Last+1)
	}
	return false
}

// reshape returns the unit that results from a split, a merge, or the isolation or
// clearing of a hot key. The cluster state never reshapes a unit with an open move, so
// a unit that this session had released is no longer moving, and the session serves it
// again.
func (m *Machine) reshape(p layoutUnit, preds []*unit, now time.Time) *unit {
	u := &unit{id: p.unit, span: p.span, counters: []*counter{{}}, acquiredAt: preds[0].acquiredAt}
	u.enter(serving, now)
	for _, o := range preds {
		if o.phase == awaitingHandover {
			m.serveWithFloor(o, now) // the handover is for the old unit only
		}
		u.floorMS = max(u.floorMS, o.floorMS)
		u.inherit(o)
	}
	return u
}

// acquire returns a unit that this session has just become the owner of.
func (m *Machine) acquire(p layoutUnit, prev *cluster.State, now time.Time) *unit {
	u := &unit{id: p.unit, span: p.span, counters: []*counter{{}}, acquiredAt: now}
	u.enter(serving, now)
	consecutive := m.state.Version == prev.Version+1
	earlier := layout(prev, p.unit.Service, anyOwnership)
	if consecutive && len(earlier) == 0 {
		return u // the service is new
	}
	var floorMS int64
	for _, b := range earlier {
		if b.unit == p.unit && b.span == p.span && b.MovingTo == m.config.Self {
			if _, alive := m.state.Members[b.Owner]; consecutive && alive {
				u.move = b.MoveVersion
				if m.earlyHandovers[p.unit] != u.move {
					u.enter(awaitingHandover, now)
				}
				return u
			}
		}
		if b.span.First <= p.span.Last && p.span.First <= b.span.Last {
			floorMS = max(floorMS, b.FloorMS)
		}
	}
	if consecutive && p.FloorMS > floorMS {
		return u // the floor set by the planner covers all ids that the earlier owner ran
	}
	m.serveWithFloor(u, now)
	return u
}

// replaceSharedCounters gives a unit a new counter if a unit that was split off from it
// shares the old one. Otherwise new requests of one would delay a move of the other.
func (m *Machine) replaceSharedCounters(old map[cluster.Unit]*unit) {
	shared := map[*counter]int{}
	for _, u := range m.order {
		for _, c := range u.counters {
			shared[c]++
		}
	}
	for _, u := range m.order {
		if old[u.id] == u && shared[u.counters[0]] > 1 {
			u.counters = append([]*counter{{}}, u.counters...)
		}
	}
}

// dropEarlyHandovers drops the handovers of moves that are no longer open.
func (m *Machine) dropEarlyHandovers() {
	for id, move := range m.earlyHandovers {
		o, ok := m.state.Get(id)
		open := ok && o.MovingTo == m.config.Self && o.MoveVersion <= move
		if move <= m.state.Version && !open {
			delete(m.earlyHandovers, id)
		}
	}
}

// updateSetUnits emits SetUnits if the unit boundaries of a service have changed.
func (m *Machine) updateSetUnits(service string, units []layoutUnit) {
	starts, hot := boundaries(units, m.state.Services[service].HotKeys)
	last := m.lastSetUnits[service]
	if slices.Equal(last.Starts, starts) && slices.Equal(last.HotKeys, hot) {
		return
	}
	a := SetUnits{Service: service, Starts: starts, HotKeys: hot}
	m.lastSetUnits[service] = a
	m.emit(a)
}
