package catalogue

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// encMode is deterministic, so that equal states have equal snapshots.
var encMode = mustEncMode()

// snapshot is the encoded form of a State.
type snapshot struct {
	Version uint64   `cbor:"1,keyasint"`
	Entries []Entry  `cbor:"2,keyasint"`
	History []Record `cbor:"3,keyasint,omitempty"`
}

// Encode returns a snapshot of s, including its history.
func (s *State) Encode() ([]byte, error) {
	return encMode.Marshal(snapshot{Version: s.version, Entries: s.All(), History: s.history})
}

// DecodeState decodes the result of State.Encode. It returns an error for a snapshot that no
// sequence of changes can produce.
func DecodeState(data []byte) (*State, error) {
	var s snapshot
	if err := cbor.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("catalogue snapshot: %w", err)
	}
	state := NewState()
	state.version = s.Version
	for _, e := range s.Entries {
		if _, twice := state.entries[e.Service]; twice || e.Version == 0 || e.Version > s.Version {
			return nil, fmt.Errorf("catalogue snapshot %d: entry %q at version %d is a duplicate or out of range",
				s.Version, e.Service, e.Version)
		}
		state.entries[e.Service] = e
	}
	last := uint64(0)
	for _, r := range s.History {
		if r.Version <= last || r.Version > s.Version {
			return nil, fmt.Errorf("catalogue snapshot %d: history version %d is out of order or out of range", s.Version, r.Version)
		}
		last = r.Version
	}
	state.history = s.History[max(0, len(s.History)-HistoryLimit):]
	return state, nil
}

// EncodeChange returns the body of the feed record for c, in CBOR.
func EncodeChange(c Change) ([]byte, error) { return encMode.Marshal(c) }

// DecodeChange decodes the result of EncodeChange.
func DecodeChange(data []byte) (Change, error) {
	var c Change
	if err := cbor.Unmarshal(data, &c); err != nil {
		return Change{}, fmt.Errorf("catalogue change: %w", err)
	}
	return c, nil
}

func mustEncMode() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}
