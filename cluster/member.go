package cluster

import "strings"

// MemberState is the state of a member.
type MemberState uint8

// The states of a member. Members that left or were fenced are removed.
const (
	MemberActive MemberState = iota
	MemberDraining
)

// String returns the state as shown to operators.
func (s MemberState) String() string {
	if s == MemberDraining {
		return "draining"
	}
	return "active"
}

// Member is a session that joined the cluster.
type Member struct {
	Session Session `cbor:"1,keyasint"`
	// Address is the host:port at which other daemons reach the member.
	Address string `cbor:"2,keyasint"`
	// Zone is the availability zone, written "region/zone".
	Zone string `cbor:"3,keyasint"`
	// Service is the service of the backend server beside the daemon; empty if there is
	// no backend server.
	Service string `cbor:"4,keyasint,omitempty"`
	// Slots is the backend server's capacity in concurrent requests.
	Slots uint32 `cbor:"5,keyasint,omitempty"`
	// ChecksGrants reports whether the backend server rejects requests whose grant is void
	// or superseded.
	ChecksGrants bool        `cbor:"6,keyasint,omitempty"`
	State        MemberState `cbor:"7,keyasint,omitempty"`
	// JoinedAt is the cluster version at which the session first joined.
	JoinedAt uint64 `cbor:"8,keyasint,omitempty"`
}

// Region returns the part of Zone before the slash, or all of Zone if it has none.
func (m Member) Region() string {
	region, _, _ := strings.Cut(m.Zone, "/")
	return region
}
