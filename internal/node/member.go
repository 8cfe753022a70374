package node

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/basilway/basilway/keyrange"
)

// BackendState is what a node says of the backend server beside it.
type BackendState uint8

const (
	// BackendUnknown means that it has not announced itself to this process of the node.
	BackendUnknown BackendState = iota
	// BackendReady means that it takes requests.
	BackendReady
	// BackendDraining means that it is about to leave.
	BackendDraining
	// BackendDown means that it ended, or left.
	BackendDown
)

// String returns the state as it is written in logs.
func (s BackendState) String() string {
	return [...]string{"unknown", "ready", "draining", "down"}[min(s, BackendDown)]
}

// Member is a node and its backend server, as the row member/<instance> says.
type Member struct {
	Owner   keyrange.Owner `cbor:"1,keyasint"`
	Address string         `cbor:"2,keyasint"`
	Zone    string         `cbor:"3,keyasint"`
	Service string         `cbor:"4,keyasint"`
	Slots   int            `cbor:"5,keyasint"`
	State   BackendState   `cbor:"6,keyasint"`

	version uint64
}

func decodeMember(data []byte, version uint64) (Member, error) {
	m := Member{version: version}
	err := cbor.Unmarshal(data, &m)
	return m, err
}
