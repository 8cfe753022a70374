package wire

import (
	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/lease"
)

// RenewReply answers lease.Renew; one field is set.
type RenewReply struct {
	Granted *lease.Granted `cbor:"1,keyasint,omitempty"`
	Refused *lease.Refused `cbor:"2,keyasint,omitempty"`
}

// Ack answers a message that needs only a confirmation.
type Ack struct{}

// NotLost tells a witness that a session that it reported is alive at Generation.
type NotLost struct {
	Session    cluster.Session `cbor:"1,keyasint"`
	Generation uint64          `cbor:"2,keyasint"`
}
