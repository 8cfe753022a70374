package dedupe

import (
	"github.com/basilway/basilway/verdict"
	"github.com/google/uuid"
)

// outcome is what is known about an id. A larger value is stronger knowledge.
type outcome uint8

const (
	inFlight outcome = iota
	unknown
	ran
	answered
)

func outcomeOf(v verdict.Verdict) outcome {
	if v == verdict.Ran {
		return ran
	}
	return unknown
}

// index is a position in the slab of records; 0 is none.
type index int32

type link struct{ prev, next index }

// The lists that a record can be in.
const (
	unitList   = iota // in flight or finished ids of the record's segment
	answerList        // kept answers, oldest first
)

type record struct {
	id   uuid.UUID
	hash uint64
	seg  *segment
	// links are the neighbours in the unit list and the answer list.
	links      [2]link
	finishedMS int64
	answer     []byte
	outcome    outcome
	// imported is what another daemon knows about an id that is in flight here.
	imported outcome
}

// list is a doubly linked list through the records of a slab.
type list struct {
	head, tail index
	n          int
}

func (m *Memory) push(l *list, which int, i index) {
	m.slab[i].links[which] = link{prev: l.tail}
	if l.tail == 0 {
		l.head = i
	} else {
		m.slab[l.tail].links[which].next = i
	}
	l.tail = i
	l.n++
}

func (m *Memory) remove(l *list, which int, i index) {
	at := m.slab[i].links[which]
	if at.prev == 0 {
		l.head = at.next
	} else {
		m.slab[at.prev].links[which].next = at.next
	}
	if at.next == 0 {
		l.tail = at.prev
	} else {
		m.slab[at.next].links[which].prev = at.prev
	}
	l.n--
}

// allocate returns a free record. The slab grows on demand.
func (m *Memory) allocate() index {
	if m.free != 0 {
		i := m.free
		m.free = m.slab[i].links[unitList].next
		return i
	}
	m.slab = append(m.slab, record{})
	return index(len(m.slab) - 1)
}

func (m *Memory) release(i index) {
	m.slab[i] = record{links: [2]link{{next: m.free}}}
	m.free = i
}
