package cluster

// Ownership says who owns a range or a hot key.
type Ownership struct {
	// Owner is zero if nobody owns it.
	Owner Session `cbor:"1,keyasint"`
	// Epoch is the cluster version at which Owner became the owner.
	Epoch uint64 `cbor:"2,keyasint"`
	// FloorMS is the Unix time in milliseconds up to which request ids may have
	// been run by an earlier owner that handed nothing over; 0 for none.
	FloorMS int64 `cbor:"3,keyasint,omitempty"`
	// MovingTo is the next owner while a planned move is open.
	MovingTo Session `cbor:"4,keyasint,omitempty"`
	// MoveVersion is the cluster version that opened the move; 0 without one. It
	// tells a late message of an earlier move from one of the open move.
	MoveVersion uint64 `cbor:"5,keyasint,omitempty"`
}

// Range is a part of a service's hash space; it ends where the next one starts.
type Range struct {
	Start uint64 `cbor:"1,keyasint"`
	Ownership
}

// HotKey is a single hash with an owner of its own, which overrides its range.
type HotKey struct {
	Hash uint64 `cbor:"1,keyasint"`
	Ownership
}

// Unit names a range by its start, or a hot key by its hash.
type Unit struct {
	Service string `cbor:"1,keyasint"`
	Start   uint64 `cbor:"2,keyasint"`
	Hot     bool   `cbor:"3,keyasint,omitempty"`
}
