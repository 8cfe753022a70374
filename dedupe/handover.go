package dedupe

import (
	"time"

	"github.com/basilway/basilway/verdict"
	"github.com/google/uuid"
)

// HandOver is the memory of one unit for its next owner.
type HandOver struct {
	Span Span `cbor:"1,keyasint"`
	// FloorMS is the unit's floor in Unix milliseconds.
	FloorMS int64    `cbor:"2,keyasint"`
	IDs     []Record `cbor:"3,keyasint,omitempty"`
}

// Record is one id that ran or may have run.
type Record struct {
	ID   uuid.UUID `cbor:"1,keyasint"`
	Hash uint64    `cbor:"2,keyasint"`
	// Verdict is Ran or MayHaveRun.
	Verdict verdict.Verdict `cbor:"3,keyasint"`
	// FinishedMS is the Unix time in milliseconds at which the id finished.
	FinishedMS int64 `cbor:"4,keyasint"`
	// Answer is the kept answer. HasAnswer tells an empty one from none.
	Answer    []byte `cbor:"5,keyasint,omitempty"`
	HasAnswer bool   `cbor:"6,keyasint,omitempty"`
}

// Export returns the ids and the floor of span. unitFloorMS is a floor that the
// caller knows besides, such as that of the cluster state. Ids still in flight count
// as MayHaveRun; a planned hand-over exports after they finished. The memory keeps
// what it exports, so that a repeat which reaches this daemon late finds it.
func (m *Memory) Export(span Span, unitFloorMS int64, now time.Time) HandOver {
	out := HandOver{Span: span, FloorMS: unitFloorMS}
	if m.breaks.forgetOnExport {
		return out
	}
	for _, seg := range m.space(span.Service).overlapping(span) {
		out.FloorMS = max(out.FloorMS, seg.floorMS)
		for _, l := range []list{seg.finished, seg.inFlight} {
			for i := l.head; i != 0; i = m.slab[i].links[unitList].next {
				if r := &m.slab[i]; r.hash >= span.First && r.hash <= span.Last {
					out.IDs = append(out.IDs, r.export(now))
				}
			}
		}
	}
	return out
}

func (r *record) export(now time.Time) Record {
	out := Record{ID: r.id, Hash: r.hash, FinishedMS: r.finishedMS, Answer: r.answer}
	switch r.outcome {
	case inFlight:
		out.FinishedMS = now.UnixMilli()
	case answered:
		out.Verdict, out.HasAnswer = verdict.Ran, true
	case ran:
		out.Verdict = verdict.Ran
	}
	return out
}

// Import adds the memory of a unit that another daemon handed over. It is
// idempotent. Of an id known on both sides the stronger outcome counts, and an id in
// flight here does not become free when it finishes NotRun.
func (m *Memory) Import(h HandOver, now time.Time) {
	s := m.space(h.Span.Service)
	m.delimit(s, h.Span)
	arrived := map[*segment]*segment{}
	for _, r := range h.IDs {
		if r.Verdict == verdict.NotRun || !isV7(r.ID) {
			continue
		}
		m.importRecord(s, arrived, r, now)
	}
	for to, from := range arrived {
		m.absorb(to, from)
	}
	for _, seg := range s.overlapping(h.Span) {
		seg.raise(h.FloorMS)
	}
	for m.count > m.config.MaxIDs {
		before := m.count
		m.evict()
		if m.count == before {
			break // the rest is in flight
		}
	}
}

func (m *Memory) importRecord(s *space, arrived map[*segment]*segment, r Record, now time.Time) {
	answer := r.Answer
	if r.HasAnswer && answer == nil {
		answer = []byte{}
	}
	key := idKey{r.ID, r.Hash}
	if i, ok := s.ids[key]; ok {
		if have := &m.slab[i]; have.outcome == inFlight {
			have.imported = max(have.imported, outcomeOf(r.Verdict))
		} else {
			m.strengthen(i, outcomeOf(r.Verdict), answer)
		}
		return
	}
	home := s.find(r.Hash)
	if arrived[home] == nil {
		arrived[home] = &segment{}
	}
	i := m.insert(s, key, arrived[home])
	m.slab[i].finishedMS = min(r.FinishedMS, now.UnixMilli())
	m.slab[i].outcome = unknown
	m.strengthen(i, outcomeOf(r.Verdict), answer)
	m.push(&arrived[home].finished, unitList, i)
}
