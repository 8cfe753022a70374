package grant

import "slices"

// maxRetired is the number of earlier ids that a Succession remembers.
const maxRetired = 64

// Succession decides which heartbeats at one address come from the present incarnation of the
// backend server, and which from a later or an earlier one. Heartbeats of an earlier
// incarnation can arrive late. The zero value has seen none.
//
// A heartbeat that states a start time is later if it states a later one. Many backend servers
// state none and take a new ID at each start: then an ID that was not seen before is later. A
// crashed backend server that returns under a new ID must not be taken for an earlier one, or
// it gets no requests until its node restarts.
type Succession struct{ retired []string }

// Retire remembers the ID of an incarnation that ended.
func (s *Succession) Retire(id string) {
	if id == "" || slices.Contains(s.retired, id) {
		return
	}
	if len(s.retired) >= maxRetired {
		s.retired = s.retired[1:]
	}
	s.retired = append(s.retired, id)
}

// FromEarlier reports whether hb, the first heartbeat that a process of the daemon gets, is from an earlier incarnation
// than the recorded one. Start times decide if both state one. Otherwise it is if the recorded one is known to be alive.
func FromEarlier(hb Heartbeat, recorded string, alive bool) bool {
	if started := startedMS(recorded); hb.StartedMS > 0 && started > 0 {
		return hb.StartedMS < started
	}
	return alive && hb.ID != IncarnationID(recorded)
}

// Accept reports whether to use a heartbeat, and whether it is the first of an incarnation.
// last is the last heartbeat that was used; nil if there is none.
func (s *Succession) Accept(last *Heartbeat, hb Heartbeat) (ok, first bool) {
	switch {
	case last == nil:
		return true, true
	case hb.Incarnation() == last.Incarnation():
		return hb.Sequence > last.Sequence, false
	case !s.later(*last, hb):
		return false, false
	}
	if hb.ID != last.ID {
		s.Retire(last.ID)
	}
	return true, true
}

// later reports whether hb is from a later incarnation than last.
func (s *Succession) later(last, hb Heartbeat) bool {
	if hb.StartedMS == 0 && last.StartedMS == 0 {
		return !slices.Contains(s.retired, hb.ID)
	}
	return hb.StartedMS > last.StartedMS
}
