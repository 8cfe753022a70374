package dedupe

import (
	"cmp"
	"math"
	"slices"

	"github.com/google/uuid"
)

// Span is the part of a service's hash space that a unit covers, First and Last included.
// A hot key covers one hash. A range does not cover the hot keys in it.
type Span struct {
	Service string `cbor:"1,keyasint"`
	First   uint64 `cbor:"2,keyasint"`
	Last    uint64 `cbor:"3,keyasint"`
	Hot     bool   `cbor:"4,keyasint,omitempty"`
}

// segment holds the ids and the floor of a range or a hot key. Ranges that this daemon does
// not own share segments.
type segment struct {
	first    uint64
	floorMS  int64
	inFlight list
	finished list // in the order in which they finished
}

func (s *segment) raiseFloor(floorMS int64) { s.floorMS = max(s.floorMS, floorMS) }

// idKey identifies a request within a service.
type idKey struct {
	id   uuid.UUID
	hash uint64
}

// serviceIDs holds the ids of one service: the segments of its ranges, ordered by first hash
// and starting at 0, and those of its hot keys.
type serviceIDs struct {
	ids    map[idKey]index
	ranges []*segment
	hot    map[uint64]*segment
}

func newServiceIDs() *serviceIDs {
	return &serviceIDs{ids: map[idKey]index{}, ranges: []*segment{{}}, hot: map[uint64]*segment{}}
}

// rangeIndex returns the index of the range segment that contains hash.
func (s *serviceIDs) rangeIndex(hash uint64) int {
	i, found := slices.BinarySearchFunc(s.ranges, hash, func(r *segment, h uint64) int {
		return cmp.Compare(r.first, h)
	})
	if found {
		return i
	}
	return i - 1
}

// segmentOf returns the segment of hash: that of its hot key, or else that of its range.
func (s *serviceIDs) segmentOf(hash uint64) *segment {
	if len(s.hot) > 0 {
		if h := s.hot[hash]; h != nil {
			return h
		}
	}
	return s.ranges[s.rangeIndex(hash)]
}

func (s *serviceIDs) eachSegment(visit func(*segment)) {
	for _, r := range s.ranges {
		visit(r)
	}
	for _, h := range s.hot {
		visit(h)
	}
}

// overlapping returns the segments that contain hashes of span.
func (s *serviceIDs) overlapping(span Span) []*segment {
	if span.Hot {
		return []*segment{s.segmentOf(span.First)}
	}
	return s.ranges[s.rangeIndex(span.First) : s.rangeIndex(span.Last)+1]
}

// SetUnits sets the boundaries of the segments to those of the units that this daemon owns
// or is about to receive. starts holds the first hash of each range and of the range after
// it; hotKeys holds the hot keys in those ranges and those owned without their range. Ids
// and floors stay with their hashes. Only fairness between units depends on the boundaries:
// a floor that rises applies to a whole segment.
func (m *Memory) SetUnits(service string, starts, hotKeys []uint64) {
	s := m.service(service)
	wantedStarts := map[uint64]bool{0: true}
	for _, start := range starts {
		wantedStarts[start] = true
		m.splitAt(s, start)
	}
	wantedHot := map[uint64]bool{}
	for _, h := range hotKeys {
		wantedHot[h] = true
		m.isolateHotKey(s, h)
	}
	for h, seg := range s.hot {
		if !wantedHot[h] {
			delete(s.hot, h)
			m.mergeSegment(s.segmentOf(h), seg)
		}
	}
	kept := s.ranges[:1]
	for _, r := range s.ranges[1:] {
		if wantedStarts[r.first] {
			kept = append(kept, r)
		} else {
			m.mergeSegment(kept[len(kept)-1], r)
		}
	}
	clear(s.ranges[len(kept):])
	s.ranges = kept
}

// RaiseFloor raises the floor of span to floorMS, in Unix milliseconds: ids with a timestamp
// at or before it that are not kept count as MayHaveRun.
func (m *Memory) RaiseFloor(span Span, floorMS int64) {
	s := m.service(span.Service)
	m.ensureBoundaries(s, span)
	for _, seg := range s.overlapping(span) {
		seg.raiseFloor(floorMS)
	}
}

// Floor returns the floor that applies to hash, in Unix milliseconds; 0 if there is none. It
// does not include the floor in the cluster state.
func (m *Memory) Floor(service string, hash uint64) int64 {
	return m.service(service).segmentOf(hash).floorMS
}

// ensureBoundaries splits segments so that none extends beyond an end of span.
func (m *Memory) ensureBoundaries(s *serviceIDs, span Span) {
	if span.Hot {
		m.isolateHotKey(s, span.First)
		return
	}
	m.splitAt(s, span.First)
	if span.Last != math.MaxUint64 {
		m.splitAt(s, span.Last+1)
	}
}

// splitAt splits the range segment that contains the hash at, so that a segment starts
// there. Both parts have the same floor.
func (m *Memory) splitAt(s *serviceIDs, at uint64) {
	i := s.rangeIndex(at)
	left := s.ranges[i]
	if left.first == at {
		return
	}
	right := &segment{first: at, floorMS: left.floorMS}
	m.moveRecords(left, right, func(hash uint64) bool { return hash >= at })
	s.ranges = slices.Insert(s.ranges, i+1, right)
}

// isolateHotKey creates a segment for hash, with the floor and the ids that the segment of
// its range has for it.
func (m *Memory) isolateHotKey(s *serviceIDs, hash uint64) {
	if s.hot[hash] != nil {
		return
	}
	from := s.segmentOf(hash)
	hot := &segment{first: hash, floorMS: from.floorMS}
	m.moveRecords(from, hot, func(h uint64) bool { return h == hash })
	s.hot[hash] = hot
}

// moveRecords moves the records whose hash matches to the end of the lists of to.
func (m *Memory) moveRecords(from, to *segment, match func(hash uint64) bool) {
	moveList := func(src, dst *list) {
		for i := src.head; i != 0; {
			r := &m.slab[i]
			next := r.links[segmentList].next
			if match(r.hash) {
				m.remove(src, segmentList, i)
				m.pushBack(dst, segmentList, i)
				r.seg = to
			}
			i = next
		}
	}
	moveList(&from.inFlight, &to.inFlight)
	moveList(&from.finished, &to.finished)
}

// mergeSegment merges from into to. It moves all records, takes the higher floor and keeps
// the finished ids ordered by the time at which they finished.
func (m *Memory) mergeSegment(to, from *segment) {
	to.raiseFloor(from.floorMS)
	existing := to.finished
	to.finished = list{}
	m.moveRecords(from, to, func(uint64) bool { return true })
	moved := to.finished
	to.finished = list{}
	for existing.n > 0 || moved.n > 0 {
		older := &existing
		if existing.n == 0 || moved.n > 0 && m.slab[moved.head].finishedMS < m.slab[existing.head].finishedMS {
			older = &moved
		}
		i := older.head
		m.remove(older, segmentList, i)
		m.pushBack(&to.finished, segmentList, i)
	}
}
