package admission

// team, key and caller count what they use, for fair order. They exist while they
// have requests; a team exists longer if its rate needs it.
type team struct {
	name string
	bound
	// stamp is the sequence number of the last start, or of the creation. Comparing
	// stamps gives turns, and a stream of new names cannot overtake one that waits.
	stamp uint64
	// rank and rankPass are scratch space of Controller.ahead.
	rank     int
	rankPass uint64
}

type keyID struct {
	team *team
	hash uint64
}

type key struct {
	id               keyID
	inFlight, queued int
	stamp            uint64
}

type callerID struct {
	key  *key
	name string
}

type caller struct {
	id               callerID
	inFlight, queued int
	stamp            uint64
}

// shares finds teams, keys and callers.
type shares struct {
	teams    map[string]*team
	keys     map[keyID]*key
	callers  map[callerID]*caller
	sequence uint64
	// freeKeys and freeCallers are reused, because most keys live for one request.
	freeKeys    []*key
	freeCallers []*caller
}

func newShares() shares {
	return shares{teams: map[string]*team{}, keys: map[keyID]*key{}, callers: map[callerID]*caller{}}
}

func (s *shares) next() uint64 {
	s.sequence++
	return s.sequence
}

func (s *shares) key(t *team, hash uint64) *key {
	id := keyID{team: t, hash: hash}
	if k := s.keys[id]; k != nil {
		return k
	}
	k := pop(&s.freeKeys)
	*k = key{id: id, stamp: s.next()}
	s.keys[id] = k
	return k
}

func (s *shares) caller(k *key, name string) *caller {
	id := callerID{key: k, name: name}
	if c := s.callers[id]; c != nil {
		return c
	}
	c := pop(&s.freeCallers)
	*c = caller{id: id, stamp: s.next()}
	s.callers[id] = c
	return c
}

// count adds to the counters of all three levels.
func (e *entry) count(inFlight, queued int) {
	e.team.inFlight += inFlight
	e.team.queued += queued
	e.key.inFlight += inFlight
	e.key.queued += queued
	e.caller.inFlight += inFlight
	e.caller.queued += queued
}

// release forgets the key and the caller of e if they have no requests left.
func (s *shares) release(e *entry) {
	if e.caller.inFlight == 0 && e.caller.queued == 0 {
		delete(s.callers, e.caller.id)
		s.freeCallers = append(s.freeCallers, e.caller)
	}
	if e.key.inFlight == 0 && e.key.queued == 0 {
		delete(s.keys, e.key.id)
		s.freeKeys = append(s.freeKeys, e.key)
	}
}

func pop[T any](free *[]*T) *T {
	n := len(*free)
	if n == 0 {
		return new(T)
	}
	v := (*free)[n-1]
	*free = (*free)[:n-1]
	return v
}

// before reports whether e starts before o. limit is the number of requests that may
// be in flight. Order: a key that would hold all slots comes last, then class, then
// the team, key and caller with the fewest requests in flight, the one that started
// longest ago among equals. Counting requests in flight shares slot time, so that
// slow requests are paid for.
func (e *entry) before(o *entry, limit int) bool {
	if a, b := e.fillsAll(limit), o.fillsAll(limit); a != b {
		return b
	}
	if e.class != o.class {
		return e.class > o.class
	}
	switch {
	case e.team != o.team:
		return fewer(e.team.inFlight, o.team.inFlight, e.team.stamp, o.team.stamp)
	case e.key != o.key:
		return fewer(e.key.inFlight, o.key.inFlight, e.key.stamp, o.key.stamp)
	case e.caller != o.caller:
		return fewer(e.caller.inFlight, o.caller.inFlight, e.caller.stamp, o.caller.stamp)
	default:
		return e.arrival < o.arrival
	}
}

// fewer compares requests in flight, then stamps.
func fewer(inFlight, otherInFlight int, stamp, otherStamp uint64) bool {
	if inFlight != otherInFlight {
		return inFlight < otherInFlight
	}
	return stamp < otherStamp
}

func (e *entry) fillsAll(limit int) bool {
	return limit > 1 && e.key.inFlight+1 >= limit
}

// worse reports whether e is rejected before o when the queue is full: the lowest
// class, then the team, key and caller with the most waiting requests, then the
// newest request.
func (e *entry) worse(o *entry) bool {
	switch {
	case e.class != o.class:
		return e.class < o.class
	case e.team.queued != o.team.queued:
		return e.team.queued > o.team.queued
	case e.key.queued != o.key.queued:
		return e.key.queued > o.key.queued
	case e.caller.queued != o.caller.queued:
		return e.caller.queued > o.caller.queued
	default:
		return e.arrival > o.arrival
	}
}
