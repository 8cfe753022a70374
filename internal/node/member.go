package node

import (
	"fmt"
	"math"
	"net"
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"github.com/basilway/basilway/keyrange"
)

// BackendState is the state of a backend server, as the node beside it reports it.
type BackendState uint8

const (
	// BackendUnknown means that it has not sent a heartbeat to this process of the node.
	BackendUnknown BackendState = iota
	// BackendReady means that it accepts requests.
	BackendReady
	// BackendDraining means that it is leaving.
	BackendDraining
	// BackendDown means that it has ended or left.
	BackendDown
)

// String returns the state as written in logs.
func (s BackendState) String() string {
	return [...]string{"unknown", "ready", "draining", "down"}[min(s, BackendDown)]
}

// Member is a node and its backend server, as stored in the row member/<instance>.
type Member struct {
	Owner   keyrange.Owner `cbor:"1,keyasint"`
	Address string         `cbor:"2,keyasint"`
	Zone    string         `cbor:"3,keyasint"`
	Service string         `cbor:"4,keyasint"`
	Slots   int            `cbor:"5,keyasint"`
	State   BackendState   `cbor:"6,keyasint"`
	// Generation is the generation of the store in which the row was written.
	Generation uint64 `cbor:"7,keyasint,omitempty"`

	// Cores is the processor share of the instance in cores; 0 if it is not known.
	Cores float64 `cbor:"8,keyasint,omitempty"`

	// Leaving is set once the backend server has announced its leave, and stays so when it is down: a heartbeat
	// from before the leave may still arrive.
	Leaving bool `cbor:"9,keyasint,omitempty"`

	// version is that of the row; 0 if the store lost it.
	version uint64
}

// decodeMember decodes the row of an instance. It returns an error for a row that no node writes, because
// another writer may have left it.
func decodeMember(instance string, data []byte, version uint64) (Member, error) {
	m := Member{version: version}
	if err := cbor.Unmarshal(data, &m); err != nil {
		return Member{}, err
	}
	if err := m.validate(instance); err != nil {
		return Member{}, err
	}
	return m, nil
}

// validate returns what keeps a member from being that of an instance.
func (m Member) validate(instance string) error {
	switch {
	case m.Owner.Instance != instance || m.Owner.Incarnation == "":
		return fmt.Errorf("owner %q of instance %q", m.Owner.Incarnation, m.Owner.Instance)
	case m.Slots < 0:
		return fmt.Errorf("%d slots", m.Slots)
	case m.State > BackendDown:
		return fmt.Errorf("unknown state %d", m.State)
	case math.IsNaN(m.Cores) || math.IsInf(m.Cores, 0) || m.Cores < 0:
		return fmt.Errorf("%v cores", m.Cores)
	}
	return validateAddress(m.Address)
}

// validateAddress returns why an address is not a host with a port number.
func validateAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 || host == "" {
		return fmt.Errorf("address %q", address)
	}
	return nil
}
