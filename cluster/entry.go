package cluster

// EntryKind is the kind of a cluster feed entry.
type EntryKind uint8

// The kinds of entries. Values are stored; do not renumber.
const (
	// EntryMemberJoined adds Member.
	EntryMemberJoined EntryKind = 1
	// EntryMemberDraining marks Session as draining.
	EntryMemberDraining EntryKind = 2
	// EntryMemberLeft removes Session, which has stopped serving.
	EntryMemberLeft EntryKind = 3
	// EntryMemberFenced removes Session, whose lease has ended.
	EntryMemberFenced EntryKind = 4
	// EntryOwnerSet sets the owner of Unit and closes an open move. It creates the
	// range or hot key if needed; creating a range keeps later starts as they are.
	EntryOwnerSet EntryKind = 5
	// EntryHotKeyCleared removes hot key Unit; its range's owner must own it.
	EntryHotKeyCleared EntryKind = 6
	// EntryMoveBegun opens a planned move of Unit to Session.
	EntryMoveBegun EntryKind = 7
	// EntryMoveCancelled closes the open move of Unit; the owner stays.
	EntryMoveCancelled EntryKind = 8
	// EntryRangeSplit cuts range Unit at At; both parts keep owner and epoch.
	EntryRangeSplit EntryKind = 9
	// EntryRangeMerged removes the boundary at range Unit, whose left neighbour has
	// the same owner.
	EntryRangeMerged EntryKind = 10
	// EntryHotKeyIsolated makes Unit a hot key that keeps its range's owner and epoch.
	EntryHotKeyIsolated EntryKind = 11
	// EntryPlannerSet makes Session the planner.
	EntryPlannerSet EntryKind = 12
)

// Entry is one change of the cluster state. Which fields count depends on Kind.
type Entry struct {
	Kind    EntryKind `cbor:"1,keyasint"`
	Member  *Member   `cbor:"2,keyasint,omitempty"`
	Session Session   `cbor:"3,keyasint,omitempty"`
	Unit    Unit      `cbor:"4,keyasint,omitempty"`
	At      uint64    `cbor:"5,keyasint,omitempty"`
	// FloorMS is set in EntryOwnerSet after an unplanned loss; see Ownership.
	FloorMS int64 `cbor:"6,keyasint,omitempty"`
}
