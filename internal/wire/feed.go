package wire

import "github.com/basilway/basilway/feed"

// Digest carries the sender's feed versions, for comparison with the receiver's.
type Digest struct {
	// Versions is the sender's version of each topic.
	Versions map[string]uint64 `cbor:"1,keyasint"`
}

// DigestReply is the response to a Digest. It carries the records that the sender of the
// Digest lacks.
type DigestReply struct {
	Versions map[string]uint64        `cbor:"1,keyasint"`
	Records  map[string][]feed.Record `cbor:"2,keyasint,omitempty"`
	// NeedSnapshot lists topics for which the sender of the Digest needs a snapshot,
	// because the missing records are no longer kept.
	NeedSnapshot []string `cbor:"3,keyasint,omitempty"`
}

// Push carries new records of a topic.
type Push struct {
	Topic   string        `cbor:"1,keyasint"`
	Records []feed.Record `cbor:"2,keyasint"`
	// From is the sender's address; the receiver need not push the records back to it.
	From string `cbor:"3,keyasint"`
}

// SnapshotRequest requests the snapshot of a topic; the response is a feed.Snapshot.
type SnapshotRequest struct {
	Topic string `cbor:"1,keyasint"`
}
