// Package dedupe remembers recent request ids, so that a request runs at most once
// although its caller repeats it. It is pure: the time is passed in.
package dedupe

import (
	"time"

	"github.com/basilway/basilway/verdict"
	"github.com/google/uuid"
)

// Memory holds the recent request ids of one daemon. An id belongs to a key: the same
// id with another key hash is another request. It is not safe for concurrent use.
//
// Each unit has its own floor: the newest stamp that was dropped from it. When the
// memory is full, the unit with the most ids loses its oldest ones, so a busy unit
// neither drops the ids nor raises the floors of others.
type Memory struct {
	config      Config
	spaces      map[string]*space
	slab        []record // the first is unused, so that index 0 means none
	free        index
	count       int
	answers     list
	answerBytes int
	stats       Stats
	breaks      breaks
}

// breaks are faults that tests switch on to prove that they are detected.
type breaks struct{ forgetOnExport, ignoreFloor bool }

// New returns an empty memory.
func New(config Config) *Memory {
	return &Memory{config: config.withDefaults(), spaces: map[string]*space{}, slab: make([]record, 1)}
}

// Len returns the number of ids kept.
func (m *Memory) Len() int { return m.count }

// Stats are figures for metrics.
type Stats struct {
	// IDs and AnswerBytes are what is kept now.
	IDs, AnswerBytes int
	// Evicted counts the ids dropped before their retention ended. While it grows,
	// floors follow the clock more closely than Config.Retention.
	Evicted uint64
	// AnswersDropped counts the answers dropped before their id.
	AnswersDropped uint64
}

// Stats returns the current figures.
func (m *Memory) Stats() Stats {
	s := m.stats
	s.IDs, s.AnswerBytes = m.count, m.answerBytes
	return s
}

func (m *Memory) space(service string) *space {
	s := m.spaces[service]
	if s == nil {
		s = newSpace()
		m.spaces[service] = s
	}
	return s
}

// Begin decides whether the request with id may run and records it if so. hash is the
// key's hash in the hash space of service, unitFloorMS the floor that the cluster
// state gives for its unit, in Unix milliseconds.
func (m *Memory) Begin(id uuid.UUID, service string, hash uint64, unitFloorMS int64, now time.Time) Decision {
	if !isV7(id) {
		return Decision{Action: Refuse, Err: errNotV7}
	}
	s := m.space(service)
	nowMS := now.UnixMilli()
	key := idKey{id, hash}
	if i, ok := s.ids[key]; ok {
		return m.repeat(&m.slab[i])
	}
	seg := s.find(hash)
	m.expire(s, seg, nowMS, 2)
	stamp := StampMS(id)
	if stamp > nowMS+m.config.MaxAhead.Milliseconds() {
		return Decision{Action: Refuse, Err: errAhead}
	}
	if stamp <= max(seg.floorMS, unitFloorMS) && !m.breaks.ignoreFloor {
		return Decision{Action: MayHaveRun, Err: errTooOld}
	}
	if m.count >= m.config.MaxIDs {
		m.evict()
		if m.count >= m.config.MaxIDs {
			return Decision{Action: Refuse, Err: errFull}
		}
		// The eviction may have raised this unit's floor past the id.
		if stamp <= seg.floorMS && !m.breaks.ignoreFloor {
			return Decision{Action: MayHaveRun, Err: errTooOld}
		}
	}
	i := m.insert(s, key, seg)
	m.push(&seg.inFlight, unitList, i)
	return Decision{Action: Run}
}

func (m *Memory) repeat(r *record) Decision {
	switch r.outcome {
	case inFlight:
		return Decision{Action: Wait}
	case answered:
		return Decision{Action: Answer, Answer: r.answer}
	case ran:
		return Decision{Action: Ran, Err: errRan}
	default:
		return Decision{Action: MayHaveRun, Err: errMayHaveRun}
	}
}

// Finish records the outcome of an id that Begin let run. NotRun frees the id, so
// that it can be tried again, unless another daemon knows that it may have run. The
// answer, if not nil, is kept with verdict Ran and must not be modified afterwards.
// A finished id takes only a stronger outcome, such as a late answer. Finish reports
// whether it changed anything.
func (m *Memory) Finish(id uuid.UUID, service string, hash uint64, v verdict.Verdict, answer []byte, now time.Time) bool {
	s := m.space(service)
	i, ok := s.ids[idKey{id, hash}]
	if !ok {
		return false
	}
	r := &m.slab[i]
	if r.outcome != inFlight {
		return v != verdict.NotRun && m.strengthen(i, outcomeOf(v), answer)
	}
	if v == verdict.NotRun && r.imported == inFlight {
		m.remove(&r.seg.inFlight, unitList, i)
		m.forget(s, i)
		return true
	}
	m.remove(&r.seg.inFlight, unitList, i)
	m.push(&r.seg.finished, unitList, i)
	r.finishedMS = now.UnixMilli()
	r.outcome = max(unknown, r.imported)
	if v != verdict.NotRun {
		m.strengthen(i, outcomeOf(v), answer)
	}
	return true
}

func (m *Memory) strengthen(i index, to outcome, answer []byte) bool {
	r := &m.slab[i]
	if to == ran && answer != nil && r.outcome != answered && len(answer) <= m.config.MaxAnswerBytes {
		for m.answerBytes+len(answer) > m.config.MaxAnswerBytes {
			m.dropAnswer(m.answers.head)
			m.stats.AnswersDropped++
		}
		r.outcome, r.answer = answered, answer
		m.answerBytes += len(answer)
		m.push(&m.answers, answerList, i)
		return true
	}
	if to <= r.outcome {
		return false
	}
	r.outcome = to
	return true
}

func (m *Memory) dropAnswer(i index) {
	r := &m.slab[i]
	m.remove(&m.answers, answerList, i)
	m.answerBytes -= len(r.answer)
	r.answer, r.outcome = nil, ran
}

func (m *Memory) insert(s *space, key idKey, seg *segment) index {
	i := m.allocate()
	m.slab[i] = record{id: key.id, hash: key.hash, seg: seg}
	s.ids[key] = i
	m.count++
	return i
}

// forget removes a record that is in no unit list any more.
func (m *Memory) forget(s *space, i index) {
	r := &m.slab[i]
	if r.outcome == answered {
		m.dropAnswer(i)
	}
	delete(s.ids, idKey{r.id, r.hash})
	m.release(i)
	m.count--
}

// drop removes the oldest finished id of seg and raises its floor.
func (m *Memory) drop(s *space, seg *segment) {
	i := seg.finished.head
	seg.raise(StampMS(m.slab[i].id))
	m.remove(&seg.finished, unitList, i)
	m.forget(s, i)
}

// evict makes room at the expense of the unit with the most finished ids.
func (m *Memory) evict() {
	var from *space
	var largest *segment
	for _, s := range m.spaces {
		s.each(func(seg *segment) {
			if largest == nil || seg.finished.n > largest.finished.n ||
				seg.finished.n == largest.finished.n && seg.first < largest.first {
				from, largest = s, seg
			}
		})
	}
	for range max(1, m.config.MaxIDs/evictionBatch) {
		if largest == nil || largest.finished.n == 0 {
			return
		}
		m.drop(from, largest)
		m.stats.Evicted++
	}
}

func (m *Memory) expire(s *space, seg *segment, nowMS int64, limit int) {
	before := nowMS - m.config.Retention.Milliseconds()
	for ; limit > 0 && seg.finished.n > 0 && m.slab[seg.finished.head].finishedMS <= before; limit-- {
		m.drop(s, seg)
	}
}

// Expire drops all ids that passed their retention. Call it every few seconds; Begin
// expires ids only of the unit that it looks at.
func (m *Memory) Expire(now time.Time) {
	for _, s := range m.spaces {
		s.each(func(seg *segment) { m.expire(s, seg, now.UnixMilli(), m.count) })
	}
}
