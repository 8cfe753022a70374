package cluster

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// EncodeEntries returns the body of the feed record for entries, in CBOR.
func EncodeEntries(entries []Entry) ([]byte, error) { return cbor.Marshal(entries) }

// DecodeEntries decodes the result of EncodeEntries.
func DecodeEntries(body []byte) ([]Entry, error) {
	var entries []Entry
	if err := cbor.Unmarshal(body, &entries); err != nil {
		return nil, fmt.Errorf("cluster entries: %w", err)
	}
	return entries, nil
}

// snapshot is the encoded form of a State.
type snapshot struct {
	Version  uint64              `cbor:"1,keyasint"`
	Members  []Member            `cbor:"2,keyasint"`
	Services map[string]*Service `cbor:"3,keyasint"`
	Planner  Session             `cbor:"4,keyasint"`
}

// Encode returns the state as the body of a feed snapshot, in CBOR.
func (s *State) Encode() ([]byte, error) {
	return cbor.Marshal(snapshot{Version: s.Version, Members: s.SortedMembers(), Services: s.Services, Planner: s.Planner})
}

// DecodeState decodes the result of State.Encode.
func DecodeState(body []byte) (*State, error) {
	var snap snapshot
	if err := cbor.Unmarshal(body, &snap); err != nil {
		return nil, fmt.Errorf("cluster snapshot: %w", err)
	}
	s := NewState()
	s.Version, s.Planner = snap.Version, snap.Planner
	for _, m := range snap.Members {
		s.Members[m.Session] = m
	}
	if snap.Services != nil {
		s.Services = snap.Services
	}
	return s, nil
}
