package cluster

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// EncodeEntries returns entries as the body of a feed record.
func EncodeEntries(entries []Entry) ([]byte, error) { return cbor.Marshal(entries) }

// DecodeEntries reverses EncodeEntries.
func DecodeEntries(body []byte) ([]Entry, error) {
	var entries []Entry
	if err := cbor.Unmarshal(body, &entries); err != nil {
		return nil, fmt.Errorf("cluster entries: %w", err)
	}
	return entries, nil
}

// snapshot is the stored form of a State.
type snapshot struct {
	Version  uint64              `cbor:"1,keyasint"`
	Members  []Member            `cbor:"2,keyasint"`
	Services map[string]*Service `cbor:"3,keyasint"`
	Planner  Session             `cbor:"4,keyasint"`
}

// Encode returns the state as the body of a feed snapshot.
func (s *State) Encode() ([]byte, error) {
	return cbor.Marshal(snapshot{Version: s.Version, Members: s.SortedMembers(), Services: s.Services, Planner: s.Planner})
}

// DecodeState reverses State.Encode.
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
