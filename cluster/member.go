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

// Member is one session that joined.
type Member struct {
	Session Session `cbor:"1,keyasint"`
	// Address is the host:port at which other daemons reach it.
	Address string `cbor:"2,keyasint"`
	// Zone is the availability zone, written "region/zone".
	Zone string `cbor:"3,keyasint"`
	// Service is the service of the backend server beside it; empty for none.
	Service string `cbor:"4,keyasint,omitempty"`
	// Slots is the backend server's capacity in concurrent requests.
	Slots uint32 `cbor:"5,keyasint,omitempty"`
	// ChecksGrants says whether the backend server checks fenced grants.
	ChecksGrants bool        `cbor:"6,keyasint,omitempty"`
	State        MemberState `cbor:"7,keyasint,omitempty"`
	// JoinedAt is the cluster version at which it joined.
	JoinedAt uint64 `cbor:"8,keyasint,omitempty"`
}

// Region returns the part of the zone before the slash, or the whole zone.
func (m Member) Region() string {
	region, _, _ := strings.Cut(m.Zone, "/")
	return region
}
