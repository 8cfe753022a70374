package planner

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/basilway/basilway/cluster"
)

// Sync adapts the model to state: the halves of a split range share its load by width,
// the loads of merged ranges add up, and the load of an isolated key is taken from its
// range.
func (m *LoadModel) Sync(state *cluster.State, now time.Time) {
	if m.synced && m.version == state.Version {
		return
	}
	if !m.synced {
		m.started = now
	}
	m.syncMembers(state, now)
	for name := range m.services {
		if state.Services[name] == nil {
			delete(m.services, name)
		}
	}
	names := make([]string, 0, len(state.Services))
	for name, svc := range state.Services {
		m.syncService(name, svc)
		names = append(names, name)
	}
	slices.Sort(names)
	m.syncUnits(state, names, now)
	m.version, m.synced = state.Version, true
}

func (m *LoadModel) syncMembers(state *cluster.State, now time.Time) {
	for session := range m.members {
		if _, ok := state.Members[session]; !ok {
			delete(m.members, session)
		}
	}
	for session := range state.Members {
		if m.members[session] == nil {
			member := &memberLoad{unitsVersion: state.Version}
			if m.synced {
				member.firstSeen = now
			}
			m.members[session] = member
		}
	}
}

// syncUnits records each member's list of units, in the order of State.UnitsOf, and
// the time at which each open move was first seen.
func (m *LoadModel) syncUnits(state *cluster.State, names []string, now time.Time) {
	lists := make(map[cluster.Session][]cluster.Unit, len(m.members))
	moves := make(map[cluster.Unit]time.Time)
	add := func(u cluster.Unit, o cluster.Ownership) {
		if !o.Owner.IsZero() {
			lists[o.Owner] = append(lists[o.Owner], u)
		}
		if !o.MovingTo.IsZero() {
			begun, ok := m.moveSeen[u]
			if !ok {
				begun = now
			}
			moves[u] = begun
		}
	}
	for _, name := range names {
		svc, h := state.Services[name], 0
		for i, r := range svc.Ranges {
			add(cluster.Unit{Service: name, Start: r.Start}, r.Ownership)
			for h < len(svc.HotKeys) && (i+1 == len(svc.Ranges) || svc.HotKeys[h].Hash < svc.Ranges[i+1].Start) {
				hot := svc.HotKeys[h]
				add(cluster.Unit{Service: name, Start: hot.Hash, Hot: true}, hot.Ownership)
				h++
			}
		}
	}
	m.moveSeen = moves
	for session, member := range m.members {
		if list := lists[session]; !equalUnits(member.units, list) {
			member.units, member.unitsVersion = list, state.Version
		}
	}
}

func (m *LoadModel) syncService(name string, svc *cluster.Service) {
	load := m.services[name]
	if load == nil {
		load = &serviceLoad{keys: map[uint64]*estimate{}}
		m.services[name] = load
	}
	if !load.sameRanges(svc) {
		// The load of a heavy key stays in one range; only the rest is shared by width.
		subtracted := load.subtractKeys()
		ranges := make([]rangeLoad, len(svc.Ranges))
		first := 0
		for i, r := range svc.Ranges {
			ranges[i] = rangeLoad{start: r.Start, width: svc.Width(i)}
			last := uint64(math.MaxUint64)
			if i+1 < len(svc.Ranges) {
				last = svc.Ranges[i+1].Start - 1
			}
			ranges[i].estimate, first = load.overlapLoad(r.Start, last, first)
		}
		load.ranges = ranges
		for _, hash := range slices.Sorted(maps.Keys(subtracted)) {
			load.addLoad(hash, subtracted[hash].value, subtracted[hash].slow)
		}
	}
	load.syncHotKeys(svc)
}

func (s *serviceLoad) sameRanges(svc *cluster.Service) bool {
	return slices.EqualFunc(s.ranges, svc.Ranges, func(a rangeLoad, b cluster.Range) bool { return a.start == b.Start })
}

// overlapLoad returns the load of the hash interval [start, last], which is the sum of the
// shares of the known ranges that overlap it. The search starts at range index from; the
// returned index is where to start the search for the next interval.
func (s *serviceLoad) overlapLoad(start, last uint64, from int) (estimate, int) {
	var sum estimate
	for i := from; i < len(s.ranges) && s.ranges[i].start <= last; i++ {
		end := uint64(math.MaxUint64)
		if i+1 < len(s.ranges) {
			end = s.ranges[i+1].start - 1
		}
		if end < start {
			continue
		}
		share := (float64(min(end, last)-max(s.ranges[i].start, start)) + 1) / (float64(end-s.ranges[i].start) + 1)
		sum.value += share * s.ranges[i].value
		sum.shown += share * s.ranges[i].shown
		sum.slow += share * s.ranges[i].slow
		if s.ranges[i].at.After(sum.at) {
			sum.at = s.ranges[i].at
		}
		from = i
	}
	return sum, from
}

// subtractKeys subtracts the loads of the heavy keys from their ranges and returns them.
func (s *serviceLoad) subtractKeys() map[uint64]estimate {
	subtracted := make(map[uint64]estimate, len(s.keys))
	for _, hash := range slices.Sorted(maps.Keys(s.keys)) {
		e := s.keys[hash]
		if i := s.rangeIndex(hash); i >= 0 {
			r := &s.ranges[i]
			subtracted[hash] = estimate{value: min(e.value, r.value), slow: min(e.slow, r.slow)}
			s.addLoad(hash, -subtracted[hash].value, -subtracted[hash].slow)
		}
	}
	return subtracted
}

func (s *serviceLoad) syncHotKeys(svc *cluster.Service) {
	hot := make([]hotLoad, len(svc.HotKeys))
	for i, h := range svc.HotKeys {
		hot[i].hash = h.Hash
		if j, ok := s.hotIndex(h.Hash); ok {
			hot[i] = s.hot[j]
		} else if e := s.keys[h.Hash]; e != nil {
			hot[i].estimate = *e
			s.addLoad(h.Hash, -e.value, -e.slow)
		}
		delete(s.keys, h.Hash)
	}
	for _, h := range s.hot {
		_, ok := slices.BinarySearchFunc(hot, h.hash, func(a hotLoad, t uint64) int { return cmp.Compare(a.hash, t) })
		if !ok {
			s.addLoad(h.hash, h.value, h.slow)
		}
	}
	s.hot = hot
}

// addLoad adds load, and slow to the slow estimate, to the range that holds hash. Both
// may be negative; the results are not.
func (s *serviceLoad) addLoad(hash uint64, load, slow float64) {
	if i := s.rangeIndex(hash); i >= 0 {
		r := &s.ranges[i]
		r.value, r.shown, r.slow = max(0, r.value+load), max(0, r.shown+load), max(0, r.slow+slow)
	}
}

func (s *serviceLoad) rangeIndex(hash uint64) int {
	i, ok := slices.BinarySearchFunc(s.ranges, hash, func(r rangeLoad, t uint64) int { return cmp.Compare(r.start, t) })
	if ok {
		return i
	}
	return i - 1
}

func (s *serviceLoad) hotIndex(hash uint64) (int, bool) {
	return slices.BinarySearchFunc(s.hot, hash, func(h hotLoad, t uint64) int { return cmp.Compare(h.hash, t) })
}

// estimateOf returns the estimate of u, or nil if the model does not know u.
func (m *LoadModel) estimateOf(u cluster.Unit) *estimate {
	svc := m.services[u.Service]
	if svc == nil {
		return nil
	}
	if u.Hot {
		if i, ok := svc.hotIndex(u.Start); ok {
			return &svc.hot[i].estimate
		}
		return nil
	}
	if i := svc.rangeIndex(u.Start); i >= 0 && svc.ranges[i].start == u.Start {
		return &svc.ranges[i].estimate
	}
	return nil
}

// Expire drops heavy keys that were not reported for KeyTTL and decays estimates that are
// older than StaleAfter: those of ranges to the mean of their service, those of isolated
// keys to 0. The load of a silent member then neither stays forever nor drops to 0 at once.
func (m *LoadModel) Expire(now time.Time) {
	for _, svc := range m.services {
		for hash, e := range svc.keys {
			if now.Sub(e.at) > m.cfg.KeyTTL {
				delete(svc.keys, hash)
			}
		}
		total := 0.0
		for _, r := range svc.ranges {
			total += r.value
		}
		for i := range svc.ranges {
			m.decay(&svc.ranges[i].estimate, total*svc.ranges[i].width, now)
		}
		for i := range svc.hot {
			m.decay(&svc.hot[i].estimate, 0, now)
		}
	}
}

// decay moves a stale estimate half of the way towards target, once per HalfLife.
func (m *LoadModel) decay(e *estimate, target float64, now time.Time) {
	if e.at.IsZero() || now.Sub(e.at) <= m.cfg.StaleAfter+m.cfg.HalfLife {
		return
	}
	e.value = (e.value + target) / 2
	e.shown, e.slow = e.value, (e.slow+target)/2
	e.at = e.at.Add(m.cfg.HalfLife)
}
