package dedupe

import (
	"time"

	"github.com/basilway/basilway/verdict"
	"github.com/google/uuid"
)

// Handover holds the ids and the floor of one unit for its next owner.
type Handover struct {
	Span Span `cbor:"1,keyasint"`
	// FloorMS is the unit's floor in Unix milliseconds.
	FloorMS int64    `cbor:"2,keyasint"`
	IDs     []Record `cbor:"3,keyasint,omitempty"`
}

// Record is one id that ran or may have run.
type Record struct {
	ID   uuid.UUID `cbor:"1,keyasint"`
	Hash uint64    `cbor:"2,keyasint"`
	// Verdict is Ran or MayHaveRun; Import ignores records with NotRun.
	Verdict verdict.Verdict `cbor:"3,keyasint"`
	// FinishedMS is the Unix time in milliseconds at which the request finished.
	FinishedMS int64 `cbor:"4,keyasint"`
	// Response is the kept response. HasResponse distinguishes an empty one from none.
	Response    []byte `cbor:"5,keyasint,omitempty"`
	HasResponse bool   `cbor:"6,keyasint,omitempty"`
}

// Export returns the ids and the floor of span. unitFloorMS is an additional floor, such as
// the one in the cluster state; the higher one counts. Ids in flight are exported as
// MayHaveRun; a planned handover exports after they finished. The Memory keeps what it
// exports, so that duplicates that still arrive at this daemon are detected.
func (m *Memory) Export(span Span, unitFloorMS int64, now time.Time) Handover {
	out := Handover{Span: span, FloorMS: unitFloorMS}
	if m.mutations.forgetOnExport {
		return out
	}
	for _, seg := range m.service(span.Service).overlapping(span) {
		out.FloorMS = max(out.FloorMS, seg.floorMS)
		for _, l := range []list{seg.finished, seg.inFlight} {
			for i := l.head; i != 0; i = m.slab[i].links[segmentList].next {
				if r := &m.slab[i]; r.hash >= span.First && r.hash <= span.Last {
					out.IDs = append(out.IDs, r.export(now))
				}
			}
		}
	}
	return out
}

func (r *record) export(now time.Time) Record {
	out := Record{ID: r.id, Hash: r.hash, FinishedMS: r.finishedMS, Response: r.response}
	switch r.outcome {
	case inFlight:
		out.FinishedMS = now.UnixMilli()
	case ranWithResponse:
		out.Verdict, out.HasResponse = verdict.Ran, true
	case ran:
		out.Verdict = verdict.Ran
	}
	return out
}

// Import adds the ids and the floor of a unit that another daemon handed over. It is
// idempotent. For an id known to both daemons the stronger outcome counts. An imported id
// that is in flight here is not deleted when it finishes with NotRun.
func (m *Memory) Import(h Handover, now time.Time) {
	s := m.service(h.Span.Service)
	m.ensureBoundaries(s, h.Span)
	imported := map[*segment]*segment{}
	for _, r := range h.IDs {
		if r.Verdict == verdict.NotRun || !isV7(r.ID) {
			continue
		}
		m.importRecord(s, imported, r, now)
	}
	for to, from := range imported {
		m.mergeSegment(to, from)
	}
	for _, seg := range s.overlapping(h.Span) {
		seg.raiseFloor(h.FloorMS)
	}
	for m.count > m.config.MaxIDs {
		before := m.count
		m.evict()
		if m.count == before {
			break // all remaining ids are in flight
		}
	}
}

// importRecord adds one record. A new id goes to a temporary segment in imported, keyed by
// its target segment; Import merges the two by the time at which the ids finished.
func (m *Memory) importRecord(s *serviceIDs, imported map[*segment]*segment, r Record, now time.Time) {
	response := r.Response
	if r.HasResponse && response == nil {
		response = []byte{}
	}
	key := idKey{r.ID, r.Hash}
	if i, ok := s.ids[key]; ok {
		if existing := &m.slab[i]; existing.outcome == inFlight {
			existing.importedOutcome = max(existing.importedOutcome, outcomeOf(r.Verdict))
		} else {
			m.upgradeOutcome(i, outcomeOf(r.Verdict), response)
		}
		return
	}
	seg := s.segmentOf(r.Hash)
	if imported[seg] == nil {
		imported[seg] = &segment{}
	}
	i := m.insert(s, key, imported[seg])
	m.slab[i].finishedMS = min(r.FinishedMS, now.UnixMilli())
	m.slab[i].outcome = unknown
	m.upgradeOutcome(i, outcomeOf(r.Verdict), response)
	m.pushBack(&imported[seg].finished, segmentList, i)
}
