package dedupe

import (
	"github.com/basilway/basilway/verdict"
	"github.com/google/uuid"
)

// outcome is what is known about a request. A greater value is stronger knowledge.
type outcome uint8

const (
	inFlight outcome = iota
	unknown
	ran
	ranWithResponse
)

func outcomeOf(v verdict.Verdict) outcome {
	if v == verdict.Ran {
		return ran
	}
	return unknown
}

// index is an index into Memory.slab; 0 means none.
type index int32

type link struct{ prev, next index }

// The kinds of lists that a record can be in; they index record.links.
const (
	segmentList  = iota // the ids in flight, or the finished ids, of a segment
	responseList        // the records with a kept response, oldest first
)

type record struct {
	id   uuid.UUID
	hash uint64
	seg  *segment
	// links holds the neighbours in each kind of list.
	links      [2]link
	finishedMS int64
	response   []byte
	outcome    outcome
	// importedOutcome is the outcome that another daemon handed over for an id in flight
	// here; inFlight if none was.
	importedOutcome outcome
}

// list is a doubly linked list of records in Memory.slab.
type list struct {
	head, tail index
	n          int
}

func (m *Memory) pushBack(l *list, kind int, i index) {
	m.slab[i].links[kind] = link{prev: l.tail}
	if l.tail == 0 {
		l.head = i
	} else {
		m.slab[l.tail].links[kind].next = i
	}
	l.tail = i
	l.n++
}

func (m *Memory) remove(l *list, kind int, i index) {
	neighbours := m.slab[i].links[kind]
	if neighbours.prev == 0 {
		l.head = neighbours.next
	} else {
		m.slab[neighbours.prev].links[kind].next = neighbours.next
	}
	if neighbours.next == 0 {
		l.tail = neighbours.prev
	} else {
		m.slab[neighbours.next].links[kind].prev = neighbours.prev
	}
	l.n--
}

// allocate returns the index of a free record. The slab grows on demand.
func (m *Memory) allocate() index {
	if m.free != 0 {
		i := m.free
		m.free = m.slab[i].links[segmentList].next
		return i
	}
	m.slab = append(m.slab, record{})
	return index(len(m.slab) - 1)
}

// release adds a record to the free list, which is linked through links[segmentList].next.
func (m *Memory) release(i index) {
	m.slab[i] = record{links: [2]link{{next: m.free}}}
	m.free = i
}
