package cluster

import (
	"cmp"
	"fmt"
	"slices"
)

// State is the cluster state at one version. It is not safe for concurrent use; give
// concurrent readers a Clone.
type State struct {
	Version  uint64
	Members  map[Session]Member
	Services map[string]*Service
	// Planner is the session that runs the planner; zero if none does.
	Planner Session
}

// NewState returns the empty state at version 0.
func NewState() *State {
	return &State{Members: map[Session]Member{}, Services: map[string]*Service{}}
}

// Next returns the state at version, which must be s.Version+1, after applying entries; s
// is unchanged. Writers validate entries with Check before they commit, so an error for
// committed entries means that the feed is corrupt.
func (s *State) Next(version uint64, entries []Entry) (*State, error) {
	if version != s.Version+1 {
		return nil, fmt.Errorf("cluster entry %d does not follow version %d", version, s.Version)
	}
	next := newDraft(s)
	for i, e := range entries {
		if err := next.apply(version, e); err != nil {
			return nil, fmt.Errorf("cluster version %d, entry %d: %w", version, i, err)
		}
	}
	next.Version = version
	return next.State, nil
}

// Apply sets s to the result of Next. On an error s is unchanged.
func (s *State) Apply(version uint64, entries []Entry) error {
	next, err := s.Next(version, entries)
	if err != nil {
		return err
	}
	*s = *next
	return nil
}

// Check returns the error that Apply would return if entries were the next version.
func (s *State) Check(entries []Entry) error {
	_, err := s.Next(s.Version+1, entries)
	return err
}

// Clone returns a deep copy of s.
func (s *State) Clone() *State {
	c := &State{
		Version:  s.Version,
		Members:  make(map[Session]Member, len(s.Members)),
		Services: make(map[string]*Service, len(s.Services)),
		Planner:  s.Planner,
	}
	for k, v := range s.Members {
		c.Members[k] = v
	}
	for k, v := range s.Services {
		c.Services[k] = v.clone()
	}
	return c
}

// Owner returns the ownership of hash and the unit that it belongs to: its hot key, or else
// its range.
func (s *State) Owner(service string, hash uint64) (Ownership, Unit) {
	svc := s.Services[service]
	if svc == nil {
		return Ownership{}, Unit{Service: service}
	}
	if i, ok := svc.findHotKey(hash); ok {
		return svc.HotKeys[i].Ownership, Unit{Service: service, Start: hash, Hot: true}
	}
	if i := svc.rangeIndex(hash); i >= 0 {
		r := svc.Ranges[i]
		return r.Ownership, Unit{Service: service, Start: r.Start}
	}
	return Ownership{}, Unit{Service: service}
}

// Get returns the ownership of unit and whether the unit exists.
func (s *State) Get(unit Unit) (Ownership, bool) {
	if o := s.find(unit); o != nil {
		return *o, true
	}
	return Ownership{}, false
}

// MembersOf returns the members that serve service, ordered by session.
func (s *State) MembersOf(service string) []Member {
	var out []Member
	for _, m := range s.Members {
		if m.Service == service {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return compareSessions(a.Session, b.Session) })
	return out
}

// SortedMembers returns all members ordered by session.
func (s *State) SortedMembers() []Member {
	out := make([]Member, 0, len(s.Members))
	for _, m := range s.Members {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Member) int { return compareSessions(a.Session, b.Session) })
	return out
}

// UnitsOf returns the units that session owns, ordered by service and start.
func (s *State) UnitsOf(session Session) []Unit {
	var out []Unit
	for name, svc := range s.Services {
		for _, r := range svc.Ranges {
			if r.Owner == session {
				out = append(out, Unit{Service: name, Start: r.Start})
			}
		}
		for _, h := range svc.HotKeys {
			if h.Owner == session {
				out = append(out, Unit{Service: name, Start: h.Hash, Hot: true})
			}
		}
	}
	slices.SortFunc(out, compareUnits)
	return out
}

// find returns the ownership of unit, or nil if the unit does not exist.
func (s *State) find(unit Unit) *Ownership {
	svc := s.Services[unit.Service]
	if svc == nil {
		return nil
	}
	if unit.Hot {
		if i, ok := svc.findHotKey(unit.Start); ok {
			return &svc.HotKeys[i].Ownership
		}
		return nil
	}
	if i, ok := svc.findRange(unit.Start); ok {
		return &svc.Ranges[i].Ownership
	}
	return nil
}

func compareSessions(a, b Session) int {
	switch {
	case a == b:
		return 0
	case a.Less(b):
		return -1
	default:
		return 1
	}
}

func compareUnits(a, b Unit) int {
	switch {
	case a.Service != b.Service:
		return cmp.Compare(a.Service, b.Service)
	case a.Start != b.Start:
		return cmp.Compare(a.Start, b.Start)
	case a.Hot == b.Hot:
		return 0
	case a.Hot:
		return 1
	default:
		return -1
	}
}
