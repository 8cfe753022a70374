package wire

import (
	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/lease"
)

// RenewReply is the response to lease.Renew; exactly one field is set.
type RenewReply struct {
	Granted *lease.Granted `cbor:"1,keyasint,omitempty"`
	Refused *lease.Refused `cbor:"2,keyasint,omitempty"`
}

// Ack is the response to a message that only needs a confirmation.
type Ack struct{}

// NotLost tells a witness that a session that it reported as expired is alive at Generation.
type NotLost struct {
	Session    cluster.Session `cbor:"1,keyasint"`
	Generation uint64          `cbor:"2,keyasint"`
}
