// Package dedupe deduplicates requests: it keeps recent request ids and responses, so that a
// request runs at most once even if its caller retries it. It does no I/O and reads no
// clock; the time is passed in.
package dedupe

import (
	"time"

	"github.com/basilway/basilway/verdict"
	"github.com/google/uuid"
)

// Memory holds the recent request ids of one daemon. An id belongs to a key: the same
// id with another key hash is another request. It is not safe for concurrent use.
//
// Each unit has a floor: a timestamp at or below which an id that is not kept may have run.
// Dropping an id raises the floor of its unit to the timestamp of the id. When MaxIDs ids
// are kept, the unit with the most finished ids drops those that finished first, so a busy
// unit neither drops the ids nor raises the floors of other units.
type Memory struct {
	config        Config
	services      map[string]*serviceIDs
	slab          []record // slab[0] is unused, so that index 0 means none
	free          index
	count         int
	responses     list
	responseBytes int
	stats         Stats
	mutations     mutations
}

// mutations switches off single rules. Tests set them to show that they detect the
// missing rule.
type mutations struct{ forgetOnExport, ignoreFloor bool }

// New returns an empty Memory.
func New(config Config) *Memory {
	return &Memory{config: config.withDefaults(), services: map[string]*serviceIDs{}, slab: make([]record, 1)}
}

// Len returns the number of ids kept.
func (m *Memory) Len() int { return m.count }

// Stats holds counts for metrics.
type Stats struct {
	// IDs is the number of ids kept, ResponseBytes the size of the kept responses.
	IDs, ResponseBytes int
	// Evicted counts the ids dropped to make room, before their retention ended. While it
	// grows, floors are closer to the current time than Config.Retention.
	Evicted uint64
	// ResponsesDropped counts the responses dropped before their ids.
	ResponsesDropped uint64
}

// Stats returns the current counts.
func (m *Memory) Stats() Stats {
	s := m.stats
	s.IDs, s.ResponseBytes = m.count, m.responseBytes
	return s
}

// service returns the ids of a service, which it creates if needed.
func (m *Memory) service(service string) *serviceIDs {
	s := m.services[service]
	if s == nil {
		s = newServiceIDs()
		m.services[service] = s
	}
	return s
}

// Begin decides whether the request with id may run and, if so, records id as in flight.
// hash is the hash of the request's key in the hash space of service. unitFloorMS is the
// floor of its unit in the cluster state, in Unix milliseconds.
func (m *Memory) Begin(id uuid.UUID, service string, hash uint64, unitFloorMS int64, now time.Time) Decision {
	if !isV7(id) {
		return Decision{Action: Refuse, Err: errNotV7}
	}
	s := m.service(service)
	nowMS := now.UnixMilli()
	key := idKey{id, hash}
	if i, ok := s.ids[key]; ok {
		return m.decideDuplicate(&m.slab[i])
	}
	seg := s.segmentOf(hash)
	m.expire(s, seg, nowMS, 2)
	timestampMS := TimestampMS(id)
	if timestampMS > nowMS+m.config.MaxAhead.Milliseconds() {
		return Decision{Action: Refuse, Err: errAhead}
	}
	if timestampMS <= max(seg.floorMS, unitFloorMS) && !m.mutations.ignoreFloor {
		return Decision{Action: MayHaveRun, Err: errTooOld}
	}
	if m.count >= m.config.MaxIDs {
		m.evict()
		if m.count >= m.config.MaxIDs {
			return Decision{Action: Refuse, Err: errFull}
		}
		// The eviction may have raised the floor of this unit past the timestamp.
		if timestampMS <= seg.floorMS && !m.mutations.ignoreFloor {
			return Decision{Action: MayHaveRun, Err: errTooOld}
		}
	}
	i := m.insert(s, key, seg)
	m.pushBack(&seg.inFlight, segmentList, i)
	return Decision{Action: Run}
}

// decideDuplicate returns the decision for another request with the id of r.
func (m *Memory) decideDuplicate(r *record) Decision {
	switch r.outcome {
	case inFlight:
		return Decision{Action: Wait}
	case ranWithResponse:
		return Decision{Action: Replay, Response: r.response}
	case ran:
		return Decision{Action: Ran, Err: errRan}
	default:
		return Decision{Action: MayHaveRun, Err: errMayHaveRun}
	}
}

// Finish records the outcome of an id for which Begin returned Run. NotRun deletes the id,
// so that the request can be retried, unless an import showed that it may have run on
// another daemon. The response, if not nil, is kept with verdict Ran and must not be
// modified afterwards. A finished id accepts only a stronger outcome, such as a late
// response. Finish reports whether it changed anything.
func (m *Memory) Finish(id uuid.UUID, service string, hash uint64, v verdict.Verdict, response []byte, now time.Time) bool {
	s := m.service(service)
	i, ok := s.ids[idKey{id, hash}]
	if !ok {
		return false
	}
	r := &m.slab[i]
	if r.outcome != inFlight {
		return v != verdict.NotRun && m.upgradeOutcome(i, outcomeOf(v), response)
	}
	if v == verdict.NotRun && r.importedOutcome == inFlight {
		m.remove(&r.seg.inFlight, segmentList, i)
		m.deleteRecord(s, i)
		return true
	}
	m.remove(&r.seg.inFlight, segmentList, i)
	m.pushBack(&r.seg.finished, segmentList, i)
	r.finishedMS = now.UnixMilli()
	r.outcome = max(unknown, r.importedOutcome)
	if v != verdict.NotRun {
		m.upgradeOutcome(i, outcomeOf(v), response)
	}
	return true
}

// Known reports whether an id is kept, in flight or finished.
func (m *Memory) Known(id uuid.UUID, service string, hash uint64) bool {
	_, ok := m.service(service).ids[idKey{id, hash}]
	return ok
}

// upgradeOutcome sets the outcome of a record to a stronger one and reports whether it did.
// With outcome ran it keeps response, if that is not nil and not larger than
// MaxResponseBytes, and drops the oldest responses to make room.
func (m *Memory) upgradeOutcome(i index, to outcome, response []byte) bool {
	r := &m.slab[i]
	if to == ran && response != nil && r.outcome != ranWithResponse && len(response) <= m.config.MaxResponseBytes {
		for m.responseBytes+len(response) > m.config.MaxResponseBytes {
			m.dropResponse(m.responses.head)
			m.stats.ResponsesDropped++
		}
		r.outcome, r.response = ranWithResponse, response
		m.responseBytes += len(response)
		m.pushBack(&m.responses, responseList, i)
		return true
	}
	if to <= r.outcome {
		return false
	}
	r.outcome = to
	return true
}

// dropResponse drops the kept response of a record, whose outcome becomes ran.
func (m *Memory) dropResponse(i index) {
	r := &m.slab[i]
	m.remove(&m.responses, responseList, i)
	m.responseBytes -= len(r.response)
	r.response, r.outcome = nil, ran
}

// insert adds a record in flight. The caller must push it to a list of the segment.
func (m *Memory) insert(s *serviceIDs, key idKey, seg *segment) index {
	i := m.allocate()
	m.slab[i] = record{id: key.id, hash: key.hash, seg: seg}
	s.ids[key] = i
	m.count++
	return i
}

// deleteRecord deletes a record that was removed from the lists of its segment.
func (m *Memory) deleteRecord(s *serviceIDs, i index) {
	r := &m.slab[i]
	if r.outcome == ranWithResponse {
		m.dropResponse(i)
	}
	delete(s.ids, idKey{r.id, r.hash})
	m.release(i)
	m.count--
}

// dropOldest deletes the id of seg that finished first and raises the floor of seg to the
// timestamp of the id.
func (m *Memory) dropOldest(s *serviceIDs, seg *segment) {
	i := seg.finished.head
	seg.raiseFloor(TimestampMS(m.slab[i].id))
	m.remove(&seg.finished, segmentList, i)
	m.deleteRecord(s, i)
}

// evict drops the oldest finished ids of the segment with the most finished ids.
func (m *Memory) evict() {
	var from *serviceIDs
	var largest *segment
	for _, s := range m.services {
		s.eachSegment(func(seg *segment) {
			if largest == nil || seg.finished.n > largest.finished.n ||
				seg.finished.n == largest.finished.n && seg.first < largest.first {
				from, largest = s, seg
			}
		})
	}
	for range max(1, m.config.MaxIDs/evictionDivisor) {
		if largest == nil || largest.finished.n == 0 {
			return
		}
		m.dropOldest(from, largest)
		m.stats.Evicted++
	}
}

// expire drops at most limit ids of seg that passed their retention.
func (m *Memory) expire(s *serviceIDs, seg *segment, nowMS int64, limit int) {
	cutoffMS := nowMS - m.config.Retention.Milliseconds()
	for ; limit > 0 && seg.finished.n > 0 && m.slab[seg.finished.head].finishedMS <= cutoffMS; limit-- {
		m.dropOldest(s, seg)
	}
}

// Expire drops all ids that passed their retention. Call it every few seconds, because
// Begin expires ids only in the unit of its request.
func (m *Memory) Expire(now time.Time) {
	for _, s := range m.services {
		s.eachSegment(func(seg *segment) { m.expire(s, seg, now.UnixMilli(), m.count) })
	}
}
