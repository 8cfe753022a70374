package cluster

import (
	"fmt"
	"slices"
)

// apply applies one entry of version to s. On an error s may be partly changed.
func (s *State) apply(version uint64, e Entry) error {
	switch e.Kind {
	case EntryMemberJoined:
		return s.addMember(version, e.Member)
	case EntryMemberDraining:
		return s.setDraining(e.Session)
	case EntryMemberLeft, EntryMemberFenced:
		return s.removeMember(e.Session)
	case EntryOwnerSet:
		return s.setOwner(version, e)
	case EntryHotKeyIsolated:
		return s.isolateHotKey(e.Unit)
	case EntryHotKeyCleared:
		return s.clearHotKey(e.Unit)
	case EntryMoveBegun:
		return s.beginMove(version, e.Unit, e.Session)
	case EntryMoveCancelled:
		return s.cancelMove(e.Unit)
	case EntryRangeSplit:
		return s.split(e.Unit, e.At)
	case EntryRangeMerged:
		return s.merge(e.Unit)
	case EntryPlannerSet:
		return s.setPlanner(e.Session)
	default:
		return fmt.Errorf("unknown entry kind %d", e.Kind)
	}
}

func (s *State) addMember(version uint64, m *Member) error {
	if m == nil || m.Session.IsZero() {
		return fmt.Errorf("join without a member")
	}
	member := *m
	member.JoinedAt = version
	if old, ok := s.Members[m.Session]; ok {
		member.JoinedAt = old.JoinedAt // joining again updates the other fields
	}
	s.Members[m.Session] = member
	return nil
}

func (s *State) setPlanner(session Session) error {
	if _, ok := s.Members[session]; !ok {
		return fmt.Errorf("planner %s is not a member", session)
	}
	s.Planner = session
	return nil
}

func (s *State) setDraining(session Session) error {
	m, ok := s.Members[session]
	if !ok {
		return fmt.Errorf("session %s is not a member", session)
	}
	m.State = MemberDraining
	s.Members[session] = m
	return nil
}

// removeMember removes a session. Units that it owns are left without an owner, and moves
// to it are cancelled. Later entries set the new owners.
func (s *State) removeMember(session Session) error {
	if _, ok := s.Members[session]; !ok {
		return fmt.Errorf("session %s is not a member", session)
	}
	delete(s.Members, session)
	if s.Planner == session {
		s.Planner = Session{}
	}
	for _, svc := range s.Services {
		for i := range svc.Ranges {
			svc.Ranges[i].removeSession(session)
		}
		for i := range svc.HotKeys {
			svc.HotKeys[i].removeSession(session)
		}
	}
	return nil
}

// removeSession clears session as the owner or the target of the open move.
func (o *Ownership) removeSession(session Session) {
	if o.Owner == session {
		o.Owner, o.MovingTo, o.MoveVersion = Session{}, Session{}, 0
	}
	if o.MovingTo == session {
		o.MovingTo, o.MoveVersion = Session{}, 0
	}
}

func (s *State) setOwner(version uint64, e Entry) error {
	if _, ok := s.Members[e.Session]; !ok {
		return fmt.Errorf("new owner %s is not a member", e.Session)
	}
	svc := s.Services[e.Unit.Service]
	if svc == nil {
		svc = &Service{}
		s.Services[e.Unit.Service] = svc
	}
	o := s.find(e.Unit)
	if o == nil {
		if err := svc.insert(e.Unit, version); err != nil {
			return err
		}
		o = s.find(e.Unit)
	}
	if !o.Owner.IsZero() && o.MovingTo != e.Session {
		return fmt.Errorf("unit %x is owned by %s, which has not released it", e.Unit.Start, o.Owner)
	}
	*o = Ownership{Owner: e.Session, Epoch: version, FloorMS: max(o.FloorMS, e.FloorMS)}
	return nil
}

// insert adds a range without an owner, as in the version that creates the first ranges of
// the service. It refuses to split an existing range unless that range got its owner in the
// same version: otherwise the new boundary would take keys from a live owner, and only a
// split followed by a move may do that.
func (s *Service) insert(u Unit, version uint64) error {
	if u.Hot {
		return fmt.Errorf("hot key %x must be isolated before it gets an owner", u.Start)
	}
	i := s.rangeIndex(u.Start)
	if len(s.Ranges) == 0 && u.Start != 0 {
		return fmt.Errorf("the first range must start at 0, not at %x", u.Start)
	}
	if i >= 0 && s.Ranges[i].Epoch != version {
		return fmt.Errorf("range %x would split an existing range", u.Start)
	}
	s.Ranges = slices.Insert(s.Ranges, i+1, Range{Start: u.Start})
	return nil
}

func (s *State) isolateHotKey(u Unit) error {
	svc := s.Services[u.Service]
	if svc == nil || !u.Hot {
		return fmt.Errorf("cannot isolate %x: unknown service or not a hot key", u.Start)
	}
	i, ok := svc.findHotKey(u.Start)
	if ok {
		return fmt.Errorf("hot key %x already exists", u.Start)
	}
	r := svc.rangeIndex(u.Start)
	if r < 0 || !svc.Ranges[r].MovingTo.IsZero() {
		return fmt.Errorf("range of hot key %x is absent or moving", u.Start)
	}
	svc.HotKeys = slices.Insert(svc.HotKeys, i, HotKey{Hash: u.Start, Ownership: svc.Ranges[r].Ownership})
	return nil
}

func (s *State) clearHotKey(u Unit) error {
	svc := s.Services[u.Service]
	if svc == nil {
		return fmt.Errorf("unknown service %q", u.Service)
	}
	i, ok := svc.findHotKey(u.Start)
	r := svc.rangeIndex(u.Start)
	if !ok || r < 0 {
		return fmt.Errorf("no hot key %x", u.Start)
	}
	h, o := svc.HotKeys[i], &svc.Ranges[r].Ownership
	if h.Owner != o.Owner || !h.MovingTo.IsZero() || !o.MovingTo.IsZero() {
		return fmt.Errorf("hot key %x and its range differ in owner or are moving", u.Start)
	}
	o.mergeFrom(h.Ownership)
	svc.HotKeys = slices.Delete(svc.HotKeys, i, i+1)
	return nil
}

func (s *State) beginMove(version uint64, u Unit, to Session) error {
	o := s.find(u)
	if o == nil || o.Owner.IsZero() {
		return fmt.Errorf("unit %x has no owner to move from", u.Start)
	}
	if _, ok := s.Members[to]; !ok {
		return fmt.Errorf("move target %s is not a member", to)
	}
	if !o.MovingTo.IsZero() || o.Owner == to {
		return fmt.Errorf("unit %x is already moving or already owned by the target", u.Start)
	}
	o.MovingTo, o.MoveVersion = to, version
	return nil
}

func (s *State) cancelMove(u Unit) error {
	o := s.find(u)
	if o == nil || o.MovingTo.IsZero() {
		return fmt.Errorf("unit %x has no open move", u.Start)
	}
	o.MovingTo, o.MoveVersion = Session{}, 0
	return nil
}

func (s *State) split(u Unit, at uint64) error {
	svc := s.Services[u.Service]
	if svc == nil || u.Hot {
		return fmt.Errorf("unit %x cannot be split", u.Start)
	}
	i, ok := svc.findRange(u.Start)
	if !ok || svc.rangeIndex(at) != i || at == u.Start || !svc.Ranges[i].MovingTo.IsZero() {
		return fmt.Errorf("range %x cannot be split at %x", u.Start, at)
	}
	svc.Ranges = slices.Insert(svc.Ranges, i+1, Range{Start: at, Ownership: svc.Ranges[i].Ownership})
	return nil
}

func (s *State) merge(u Unit) error {
	svc := s.Services[u.Service]
	if svc == nil || u.Hot {
		return fmt.Errorf("unit %x cannot be merged", u.Start)
	}
	i, ok := svc.findRange(u.Start)
	if !ok || i == 0 {
		return fmt.Errorf("no range boundary at %x", u.Start)
	}
	left, right := &svc.Ranges[i-1], svc.Ranges[i]
	if left.Owner != right.Owner || !left.MovingTo.IsZero() || !right.MovingTo.IsZero() {
		return fmt.Errorf("ranges on both sides of %x differ in owner or are moving", u.Start)
	}
	left.mergeFrom(right.Ownership)
	svc.Ranges = slices.Delete(svc.Ranges, i, i+1)
	return nil
}

// mergeFrom sets o to the later epoch and the later floor of o and other, whose units are
// merged.
func (o *Ownership) mergeFrom(other Ownership) {
	o.Epoch = max(o.Epoch, other.Epoch)
	o.FloorMS = max(o.FloorMS, other.FloorMS)
}
