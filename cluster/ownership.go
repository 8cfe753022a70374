package cluster

// Ownership holds the owner of a range or a hot key.
type Ownership struct {
	// Owner is the session that owns the unit; zero if none does.
	Owner Session `cbor:"1,keyasint"`
	// Epoch is the cluster version at which Owner became the owner.
	Epoch uint64 `cbor:"2,keyasint"`
	// FloorMS is a Unix time in milliseconds. Request ids with a timestamp up to it may
	// have run on an earlier owner that was lost without a handover; 0 for none.
	FloorMS int64 `cbor:"3,keyasint,omitempty"`
	// MovingTo is the next owner while a planned move is open.
	MovingTo Session `cbor:"4,keyasint,omitempty"`
	// MoveVersion is the cluster version that began the open move; 0 if there is none. It
	// distinguishes messages of the open move from late messages of earlier moves.
	MoveVersion uint64 `cbor:"5,keyasint,omitempty"`
}

// Range is a part of a service's hash space. It ends where the next range starts.
type Range struct {
	Start uint64 `cbor:"1,keyasint"`
	Ownership
}

// HotKey is a single hash with its own Ownership, which overrides that of its range.
type HotKey struct {
	Hash uint64 `cbor:"1,keyasint"`
	Ownership
}

// Unit identifies a range by its start, or a hot key by its hash.
type Unit struct {
	Service string `cbor:"1,keyasint"`
	Start   uint64 `cbor:"2,keyasint"`
	Hot     bool   `cbor:"3,keyasint,omitempty"`
}
