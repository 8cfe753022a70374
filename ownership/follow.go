package ownership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/basilway/basilway/cluster"
)

// follow applies a newer cluster state.
func (m *Machine) follow(next *cluster.State, now time.Time) {
	prev := m.state
	old := m.units
	m.state, m.units, m.order = next, map[cluster.Unit]*unit{}, nil
	for _, service := range slices.Sorted(maps.Keys(next.Services)) {
		units := layout(next, service, near(m.config.Self))
		for _, p := range units {
			if p.Owner == m.config.Self {
				u := m.followUnit(p, prev, old, now)
				m.units[u.id] = u
				m.order = append(m.order, u)
			}
		}
		m.announce(service, units)
	}
	m.rotate(old)
	m.dropReceived()
	_, member := next.Members[m.config.Self]
	if m.joined && !member && !m.removed {
		m.removed = true
		m.emit(SessionRemoved{})
	}
	m.joined = m.joined || member
}

// followUnit returns the unit that p is from now on.
func (m *Machine) followUnit(p placed, prev *cluster.State, old map[cluster.Unit]*unit, now time.Time) *unit {
	from := m.predecessors(p, old)
	var u *unit
	switch kept := p.Epoch <= prev.Version && covers(from, p); {
	case kept && len(from) == 1 && from[0].id == p.unit && from[0].span == p.span:
		u = from[0]
	case kept:
		u = m.reshape(p, from, now)
	default:
		u = m.acquire(p, prev, now)
		for _, o := range from {
			u.inherit(o)
		}
	}
	u.epoch, u.floorMS = p.Epoch, max(u.floorMS, p.FloorMS)
	m.followMove(u, p, now)
	return u
}

func (m *Machine) followMove(u *unit, p placed, now time.Time) {
	switch {
	case !p.MovingTo.IsZero() && (u.move != p.MoveVersion || u.phase == awaiting):
		if u.phase == awaiting {
			m.serveWithFloor(u, now)
		}
		u.move, u.to = p.MoveVersion, p.MovingTo
		u.enter(draining, now)
	case p.MovingTo.IsZero() && u.phase > serving:
		u.enter(serving, now)
	}
}

// predecessors returns the old units whose requests in flight may belong to p.
func (m *Machine) predecessors(p placed, old map[cluster.Unit]*unit) []*unit {
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

// covers reports whether the ranges among from cover all hashes of p.
func covers(from []*unit, p placed) bool {
	if p.unit.Hot {
		return len(from) > 0
	}
	next := p.span.First
	for _, o := range from {
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
// clearing of a hot key. Units with an open move keep their shape, so a unit that was
// released before was given back.
func (m *Machine) reshape(p placed, from []*unit, now time.Time) *unit {
	u := &unit{id: p.unit, span: p.span, counters: []*counter{{}}, received: from[0].received}
	u.enter(serving, now)
	for _, o := range from {
		if o.phase == awaiting {
			m.serveWithFloor(o, now) // the hand-over fits the old shape only
		}
		u.floorMS = max(u.floorMS, o.floorMS)
		u.inherit(o)
	}
	return u
}

// acquire returns a unit that this session has just received.
func (m *Machine) acquire(p placed, prev *cluster.State, now time.Time) *unit {
	u := &unit{id: p.unit, span: p.span, counters: []*counter{{}}, received: now}
	u.enter(serving, now)
	next := m.state.Version == prev.Version+1
	before := layout(prev, p.unit.Service, everything)
	if next && len(before) == 0 {
		return u // the service is new
	}
	var floorMS int64
	for _, b := range before {
		if b.unit == p.unit && b.span == p.span && b.MovingTo == m.config.Self {
			if _, alive := m.state.Members[b.Owner]; next && alive {
				u.move = b.MoveVersion
				if m.received[p.unit] != u.move {
					u.enter(awaiting, now)
				}
				return u
			}
		}
		if b.span.First <= p.span.Last && p.span.First <= b.span.Last {
			floorMS = max(floorMS, b.FloorMS)
		}
	}
	if next && p.FloorMS > floorMS {
		return u // the planner's floor covers what the earlier owner ran
	}
	m.serveWithFloor(u, now)
	return u
}

// rotate gives a unit a new counter when a unit that was cut from it shares the old
// one. Otherwise the requests that keep coming to one would delay a move of the other.
func (m *Machine) rotate(old map[cluster.Unit]*unit) {
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

// dropReceived forgets hand-overs of moves that are no longer open.
func (m *Machine) dropReceived() {
	for id, move := range m.received {
		o, ok := m.state.Get(id)
		open := ok && o.MovingTo == m.config.Self && o.MoveVersion <= move
		if move <= m.state.Version && !open {
			delete(m.received, id)
		}
	}
}

func (m *Machine) announce(service string, units []placed) {
	starts, hot := boundaries(units, m.state.Services[service].HotKeys)
	last := m.announced[service]
	if slices.Equal(last.Starts, starts) && slices.Equal(last.HotKeys, hot) {
		return
	}
	a := SetUnits{Service: service, Starts: starts, HotKeys: hot}
	m.announced[service] = a
	m.emit(a)
}
