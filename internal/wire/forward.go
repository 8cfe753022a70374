package wire

import "github.com/basilway/basilway/cluster"

// Request is a caller's request as one daemon forwards it to another.
type Request struct {
	Service    string `cbor:"1,keyasint"`
	Key        string `cbor:"2,keyasint"`
	Method     string `cbor:"3,keyasint,omitempty"`
	Team       string `cbor:"4,keyasint,omitempty"`
	Idempotent bool   `cbor:"5,keyasint,omitempty"`
	RequestID  string `cbor:"6,keyasint,omitempty"`
	Payload    []byte `cbor:"7,keyasint,omitempty"`
	Caller     string `cbor:"8,keyasint,omitempty"`
}

// Reply is the successful response to a Request.
type Reply struct {
	Payload  []byte `cbor:"1,keyasint,omitempty"`
	ServedBy string `cbor:"2,keyasint"`
	Epoch    uint64 `cbor:"3,keyasint"`
	Repeated bool   `cbor:"4,keyasint,omitempty"`
}

// NotOwner is the error detail that a daemon returns if it does not own the key.
type NotOwner struct {
	// Version is the cluster version that this detail is based on.
	Version uint64 `cbor:"1,keyasint"`
	// Owner is the zero Session if no owner of the key is known.
	Owner   cluster.Session `cbor:"2,keyasint"`
	Address string          `cbor:"3,keyasint,omitempty"`
}
