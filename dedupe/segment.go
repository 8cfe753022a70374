package dedupe

import (
	"cmp"
	"math"
	"slices"

	"github.com/google/uuid"
)

// Span is the part of a service's hash space that a unit covers, both ends
// included. A hot key covers one hash; a range does not cover the hot keys in it.
type Span struct {
	Service string `cbor:"1,keyasint"`
	First   uint64 `cbor:"2,keyasint"`
	Last    uint64 `cbor:"3,keyasint"`
	Hot     bool   `cbor:"4,keyasint,omitempty"`
}

// segment holds the ids and the floor of a range or a hot key. Ranges that this
// daemon does not own share segments.
type segment struct {
	first    uint64
	floorMS  int64
	inFlight list
	finished list // in the order in which they finished
}

func (s *segment) raise(floorMS int64) { s.floorMS = max(s.floorMS, floorMS) }

type idKey struct {
	id   uuid.UUID
	hash uint64
}

// space is the memory of one service: ranges in order, of which the first starts
// at 0, and hot keys.
type space struct {
	ids    map[idKey]index
	ranges []*segment
	hot    map[uint64]*segment
}

func newSpace() *space {
	return &space{ids: map[idKey]index{}, ranges: []*segment{{}}, hot: map[uint64]*segment{}}
}

func (s *space) rangeIndex(hash uint64) int {
	i, found := slices.BinarySearchFunc(s.ranges, hash, func(r *segment, h uint64) int {
		return cmp.Compare(r.first, h)
	})
	if found {
		return i
	}
	return i - 1
}

func (s *space) find(hash uint64) *segment {
	if len(s.hot) > 0 {
		if h := s.hot[hash]; h != nil {
			return h
		}
	}
	return s.ranges[s.rangeIndex(hash)]
}

func (s *space) each(visit func(*segment)) {
	for _, r := range s.ranges {
		visit(r)
	}
	for _, h := range s.hot {
		visit(h)
	}
}

// overlapping returns the segments that hold hashes of span.
func (s *space) overlapping(span Span) []*segment {
	if span.Hot {
		return []*segment{s.find(span.First)}
	}
	return s.ranges[s.rangeIndex(span.First) : s.rangeIndex(span.Last)+1]
}

// SetUnits tells the memory the boundaries of the units that this daemon owns or is
// about to receive: the first hash of each range and of the range after it, and the
// hot keys in those ranges or owned by themselves. Ids and floors follow their key
// hash. Only fairness depends on it: a floor that rises applies to a whole segment.
func (m *Memory) SetUnits(service string, starts, hotKeys []uint64) {
	s := m.space(service)
	wanted := map[uint64]bool{0: true}
	for _, start := range starts {
		wanted[start] = true
		m.cut(s, start)
	}
	hot := map[uint64]bool{}
	for _, h := range hotKeys {
		hot[h] = true
		m.isolate(s, h)
	}
	for h, seg := range s.hot {
		if !hot[h] {
			delete(s.hot, h)
			m.absorb(s.find(h), seg)
		}
	}
	kept := s.ranges[:1]
	for _, r := range s.ranges[1:] {
		if wanted[r.first] {
			kept = append(kept, r)
		} else {
			m.absorb(kept[len(kept)-1], r)
		}
	}
	clear(s.ranges[len(kept):])
	s.ranges = kept
}

// RaiseFloor makes ids of span stamped at or before floorMS count as possibly run.
func (m *Memory) RaiseFloor(span Span, floorMS int64) {
	s := m.space(span.Service)
	m.delimit(s, span)
	for _, seg := range s.overlapping(span) {
		seg.raise(floorMS)
	}
}

// Floor returns the floor of a key hash in Unix milliseconds.
func (m *Memory) Floor(service string, hash uint64) int64 {
	return m.space(service).find(hash).floorMS
}

// delimit makes the ends of span boundaries of segments.
func (m *Memory) delimit(s *space, span Span) {
	if span.Hot {
		m.isolate(s, span.First)
		return
	}
	m.cut(s, span.First)
	if span.Last != math.MaxUint64 {
		m.cut(s, span.Last+1)
	}
}

func (m *Memory) cut(s *space, at uint64) {
	i := s.rangeIndex(at)
	left := s.ranges[i]
	if left.first == at {
		return
	}
	right := &segment{first: at, floorMS: left.floorMS}
	m.transfer(left, right, func(hash uint64) bool { return hash >= at })
	s.ranges = slices.Insert(s.ranges, i+1, right)
}

func (m *Memory) isolate(s *space, hash uint64) {
	if s.hot[hash] != nil {
		return
	}
	from := s.find(hash)
	hot := &segment{first: hash, floorMS: from.floorMS}
	m.transfer(from, hot, func(h uint64) bool { return h == hash })
	s.hot[hash] = hot
}

func (m *Memory) transfer(from, to *segment, moves func(hash uint64) bool) {
	move := func(a, b *list) {
		for i := a.head; i != 0; {
			r := &m.slab[i]
			next := r.links[unitList].next
			if moves(r.hash) {
				m.remove(a, unitList, i)
				m.push(b, unitList, i)
				r.seg = to
			}
			i = next
		}
	}
	move(&from.inFlight, &to.inFlight)
	move(&from.finished, &to.finished)
}

// absorb moves everything of from into to and keeps the finished ids in order.
func (m *Memory) absorb(to, from *segment) {
	to.raise(from.floorMS)
	a := to.finished
	to.finished = list{}
	m.transfer(from, to, func(uint64) bool { return true })
	b := to.finished
	to.finished = list{}
	for a.n > 0 || b.n > 0 {
		older := &a
		if a.n == 0 || b.n > 0 && m.slab[b.head].finishedMS < m.slab[a.head].finishedMS {
			older = &b
		}
		i := older.head
		m.remove(older, unitList, i)
		m.push(&to.finished, unitList, i)
	}
}
