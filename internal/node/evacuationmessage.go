package node

import (
	"time"

	"github.com/basilway/basilway/evacuation"
	"github.com/basilway/basilway/membership"
	"github.com/basilway/basilway/metastore"
)

// evacuationMessage tells another node which availability zones are evacuated. It travels with
// reports and comparisons once there was an evacuation, and while a node knows nothing.
type evacuationMessage struct {
	// Through is the version of the store up to which the sender knows all rows; 0 if it doesn't.
	Through uint64 `cbor:"1,keyasint,omitempty"`
	// Zones are those whose rows the sender knows, or whose removal after Through.
	Zones []zoneMessage `cbor:"2,keyasint,omitempty"`
}

// zoneMessage is what a node knows of one availability zone.
type zoneMessage struct {
	Zone string `cbor:"1,keyasint"`
	// Version is that of the row or of its removal.
	Version uint64 `cbor:"2,keyasint"`
	Removed bool   `cbor:"3,keyasint,omitempty"`
	// AgeMS is how long ago in milliseconds the zone was evacuated, as far as the sender knows.
	AgeMS uint32 `cbor:"4,keyasint,omitempty"`
}

// set returns what the message tells.
func (m *evacuationMessage) set() evacuation.Set {
	if m == nil {
		return evacuation.Set{}
	}
	rows := map[string]uint64{}
	for _, z := range m.Zones {
		if !z.Removed {
			rows[z.Zone] = z.Version
		}
	}
	out := evacuation.Listed(m.Through, rows)
	for _, z := range m.Zones {
		if z.Removed {
			out = out.Merge(evacuation.Row(z.Zone, z.Version, true))
		}
	}
	return out
}

// evacuationMessage returns what this node knows, or nil if it has seen no evacuation.
func (s *viewStore) evacuationMessage() *evacuationMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.evacuations.enabled() || s.evacuations.set.Known() && !s.evacuations.seen {
		return nil
	}
	return s.buildEvacuationMessage()
}

// buildEvacuationMessage returns all that this node knows. s.mu must be held.
func (s *viewStore) buildEvacuationMessage() *evacuationMessage {
	m := &evacuationMessage{Through: s.evacuations.set.Through()}
	for zone, row := range s.evacuations.set.Rows() {
		z := zoneMessage{Zone: zone, Version: row.Version, Removed: row.Removed}
		if !row.Removed {
			z.AgeMS = *milliseconds(max(s.evacuations.now().Sub(s.view.Evacuated[zone].Since), 0))
		}
		m.Zones = append(m.Zones, z)
	}
	return m
}

// mergeEvacuationMessage applies what another node knows.
func (s *viewStore) mergeEvacuationMessage(m *evacuationMessage) {
	if m == nil {
		return
	}
	ages := map[string]time.Duration{}
	for _, z := range m.Zones {
		ages[z.Zone] = time.Duration(z.AgeMS) * time.Millisecond
	}
	s.updateEvacuations(membership.FromComparison, func(v *View) []metastore.Row {
		s.enter(metastore.Generation(m.Through))
		now := s.evacuations.now()
		return s.mergeEvacuations(v, m.set(), func(zone string) time.Time { return now.Add(-ages[zone]) })
	})
}

// answerEvacuations applies what another node knows and returns what it lacks, or nil.
func (s *viewStore) answerEvacuations(theirs *evacuationMessage) *evacuationMessage {
	s.mergeEvacuationMessage(theirs)
	s.mu.Lock()
	defer s.mu.Unlock()
	knowsNothing := theirs != nil && !theirs.set().Known()
	if !s.evacuations.enabled() || !s.evacuations.set.Known() || s.evacuations.set.Agrees(theirs.set()) && !knowsNothing {
		return nil
	}
	return s.buildEvacuationMessage()
}
