package catalogue

// Entry describes one service.
type Entry struct {
	// Service is the name of the service and the key of the entry.
	Service string `cbor:"1,keyasint" validate:"name"`
	// Owner is the team that owns the service.
	Owner  string `cbor:"2,keyasint" validate:"name"`
	Class  Class  `cbor:"3,keyasint" validate:"class"`
	Limits Limits `cbor:"4,keyasint"`
	// Version is the catalogue version of the last edit, set by State.Apply; 0 before that.
	Version uint64 `cbor:"5,keyasint,omitempty"`
}

// Change is the edit of one entry; each version of the catalogue feed holds one.
type Change struct {
	// Entry is the entry after the edit. A deletion needs only Entry.Service.
	Entry   Entry `cbor:"1,keyasint"`
	Deleted bool  `cbor:"2,keyasint,omitempty"`
	// TimeMS is the Unix time of the edit in milliseconds, by the editing daemon's clock.
	TimeMS int64 `cbor:"3,keyasint,omitempty"`
}

// Record is an applied change in the history.
type Record struct {
	Version uint64 `cbor:"1,keyasint"`
	Change  Change `cbor:"2,keyasint"`
}
