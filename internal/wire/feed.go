package wire

import "github.com/basilway/basilway/feed"

// Digest compares feed versions.
type Digest struct {
	// Versions is the sender's version of each topic.
	Versions map[string]uint64 `cbor:"1,keyasint"`
}

// DigestReply carries what the sender of a Digest lacks.
type DigestReply struct {
	Versions map[string]uint64        `cbor:"1,keyasint"`
	Records  map[string][]feed.Record `cbor:"2,keyasint,omitempty"`
	// NeedSnapshot lists topics whose missing records are no longer kept.
	NeedSnapshot []string `cbor:"3,keyasint,omitempty"`
}

// Push carries new records.
type Push struct {
	Topic   string        `cbor:"1,keyasint"`
	Records []feed.Record `cbor:"2,keyasint"`
	// From is the sender's address, which need not be pushed to.
	From string `cbor:"3,keyasint"`
}

// SnapshotRequest asks for the snapshot of a topic; the answer is a feed.Snapshot.
type SnapshotRequest struct {
	Topic string `cbor:"1,keyasint"`
}
