package cluster

import "maps"

// draft is a copy-on-write copy of a state, to which entries are applied. It shares with the
// original all parts that no entry changes, because a full copy takes milliseconds at 1,900
// members.
type draft struct {
	*State
	membersCopied  bool
	servicesCopied map[string]bool
}

func newDraft(s *State) *draft {
	next := &State{Version: s.Version, Members: s.Members, Services: maps.Clone(s.Services), Planner: s.Planner}
	return &draft{State: next, servicesCopied: map[string]bool{}}
}

// apply applies one entry of version to the draft.
func (d *draft) apply(version uint64, e Entry) error {
	d.copyForWrite(e)
	return d.State.apply(version, e)
}

// copyForWrite copies what e may change, unless it was copied before.
func (d *draft) copyForWrite(e Entry) {
	switch e.Kind {
	case EntryMemberJoined, EntryMemberDraining:
		d.copyMembers()
	case EntryMemberLeft, EntryMemberFenced:
		d.copyMembers()
		for name := range d.Services {
			d.copyService(name)
		}
	case EntryPlannerSet:
	default:
		d.copyService(e.Unit.Service)
	}
}

func (d *draft) copyMembers() {
	if !d.membersCopied {
		d.Members, d.membersCopied = maps.Clone(d.Members), true
	}
}

func (d *draft) copyService(name string) {
	if service := d.Services[name]; service != nil && !d.servicesCopied[name] {
		d.Services[name] = service.clone()
	}
	d.servicesCopied[name] = true
}
