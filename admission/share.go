package admission

// team, key and caller count their requests in flight and queued, for fair queuing. They
// exist while they have requests; a team also exists until its token bucket is full.
type team struct {
	name string
	limitUsage
	// lastStart is the sequence number of the last start, or of the creation. It breaks
	// ties: the lower number goes first. Teams thus take turns, and a stream of new names
	// cannot overtake a team that waits.
	lastStart uint64
	// rank and rankPass are scratch space of Controller.queuedAhead.
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
	lastStart        uint64
}

type callerID struct {
	key  *key
	name string
}

type caller struct {
	id               callerID
	inFlight, queued int
	lastStart        uint64
}

// fairShares holds the teams, keys and callers that have requests, and numbers their starts.
type fairShares struct {
	teams    map[string]*team
	keys     map[keyID]*key
	callers  map[callerID]*caller
	sequence uint64
	// freeKeys and freeCallers are reused, because most keys live for one request.
	freeKeys    []*key
	freeCallers []*caller
}

func newFairShares() fairShares {
	return fairShares{teams: map[string]*team{}, keys: map[keyID]*key{}, callers: map[callerID]*caller{}}
}

func (s *fairShares) nextSequence() uint64 {
	s.sequence++
	return s.sequence
}

func (s *fairShares) key(t *team, hash uint64) *key {
	id := keyID{team: t, hash: hash}
	if k := s.keys[id]; k != nil {
		return k
	}
	k := popOrNew(&s.freeKeys)
	*k = key{id: id, lastStart: s.nextSequence()}
	s.keys[id] = k
	return k
}

func (s *fairShares) caller(k *key, name string) *caller {
	id := callerID{key: k, name: name}
	if c := s.callers[id]; c != nil {
		return c
	}
	c := popOrNew(&s.freeCallers)
	*c = caller{id: id, lastStart: s.nextSequence()}
	s.callers[id] = c
	return c
}

// addCounts adds to the counters of e's team, key and caller.
func (e *entry) addCounts(inFlight, queued int) {
	e.team.inFlight += inFlight
	e.team.queued += queued
	e.key.inFlight += inFlight
	e.key.queued += queued
	e.caller.inFlight += inFlight
	e.caller.queued += queued
}

// release removes the key and the caller of e if they have no requests left.
func (s *fairShares) release(e *entry) {
	if e.caller.inFlight == 0 && e.caller.queued == 0 {
		delete(s.callers, e.caller.id)
		s.freeCallers = append(s.freeCallers, e.caller)
	}
	if e.key.inFlight == 0 && e.key.queued == 0 {
		delete(s.keys, e.key.id)
		s.freeKeys = append(s.freeKeys, e.key)
	}
}

func popOrNew[T any](free *[]*T) *T {
	n := len(*free)
	if n == 0 {
		return new(T)
	}
	v := (*free)[n-1]
	*free = (*free)[:n-1]
	return v
}

// startsBefore reports whether e starts before o. limit is the number of requests that may
// be in flight. A key that would hold all slots comes last. Otherwise the order is by class,
// then the team, key and caller with the fewest requests in flight, and among equals the
// one that started longest ago. Counting requests in flight shares slot time, so slow
// requests use up more of a share.
func (e *entry) startsBefore(o *entry, limit int) bool {
	if a, b := e.keyFillsSlots(limit), o.keyFillsSlots(limit); a != b {
		return b
	}
	if e.class != o.class {
		return e.class > o.class
	}
	switch {
	case e.team != o.team:
		return servedLess(e.team.inFlight, o.team.inFlight, e.team.lastStart, o.team.lastStart)
	case e.key != o.key:
		return servedLess(e.key.inFlight, o.key.inFlight, e.key.lastStart, o.key.lastStart)
	case e.caller != o.caller:
		return servedLess(e.caller.inFlight, o.caller.inFlight, e.caller.lastStart, o.caller.lastStart)
	default:
		return e.arrival < o.arrival
	}
}

// servedLess compares requests in flight, then the last starts.
func servedLess(inFlight, otherInFlight int, lastStart, otherLastStart uint64) bool {
	if inFlight != otherInFlight {
		return inFlight < otherInFlight
	}
	return lastStart < otherLastStart
}

func (e *entry) keyFillsSlots(limit int) bool {
	return limit > 1 && e.key.inFlight+1 >= limit
}

// shedBefore reports whether e is rejected before o when the queue is full: the lowest
// class, then the team, key and caller with the most queued requests, then the newest
// request.
func (e *entry) shedBefore(o *entry) bool {
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
