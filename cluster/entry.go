package cluster

// EntryKind is the kind of a cluster feed entry.
type EntryKind uint8

// The kinds of entries. The values are stored; do not renumber them.
const (
	// EntryMemberJoined adds or updates Member.
	EntryMemberJoined EntryKind = 1
	// EntryMemberDraining marks Session as draining.
	EntryMemberDraining EntryKind = 2
	// EntryMemberLeft removes Session, which stopped serving.
	EntryMemberLeft EntryKind = 3
	// EntryMemberFenced removes Session, whose lease ended.
	EntryMemberFenced EntryKind = 4
	// EntryOwnerSet makes Session the owner of Unit and closes an open move. It creates
	// the range if needed, without moving the starts of later ranges.
	EntryOwnerSet EntryKind = 5
	// EntryHotKeyCleared removes hot key Unit, which must have the same owner as its range.
	EntryHotKeyCleared EntryKind = 6
	// EntryMoveBegun begins a planned move of Unit to Session.
	EntryMoveBegun EntryKind = 7
	// EntryMoveCancelled cancels the open move of Unit; its owner keeps it.
	EntryMoveCancelled EntryKind = 8
	// EntryRangeSplit splits range Unit at At; both parts keep its owner and epoch.
	EntryRangeSplit EntryKind = 9
	// EntryRangeMerged merges range Unit into the range before it, which must have the
	// same owner.
	EntryRangeMerged EntryKind = 10
	// EntryHotKeyIsolated makes Unit a hot key with the owner and epoch of its range.
	EntryHotKeyIsolated EntryKind = 11
	// EntryPlannerSet makes Session the planner.
	EntryPlannerSet EntryKind = 12
)

// Entry is one change of the cluster state. Kind decides which fields are used.
type Entry struct {
	Kind    EntryKind `cbor:"1,keyasint"`
	Member  *Member   `cbor:"2,keyasint,omitempty"`
	Session Session   `cbor:"3,keyasint,omitempty"`
	Unit    Unit      `cbor:"4,keyasint,omitempty"`
	At      uint64    `cbor:"5,keyasint,omitempty"`
	// FloorMS is set in an EntryOwnerSet after an unplanned loss of the owner; see
	// Ownership.FloorMS.
	FloorMS int64 `cbor:"6,keyasint,omitempty"`
}
