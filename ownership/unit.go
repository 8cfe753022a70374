package ownership

import (
	"slices"
	"time"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/dedupe"
)

type phase uint8

const (
	// awaitingHandover: acquired by a planned move whose handover has not arrived.
	awaitingHandover phase = iota
	serving
	// draining: a move is open and requests are in flight.
	draining
	// handingOver: nothing is in flight; the handover is not acknowledged.
	handingOver
	// released: this session does not serve the unit unless a later cluster version
	// cancels the move.
	released
)

// unit is an owned range or hot key.
type unit struct {
	id       cluster.Unit
	span     dedupe.Span
	phase    phase
	epoch    uint64
	floorMS  int64
	counters []*counter
	// acquiredAt is when this session became the owner.
	acquiredAt time.Time
	// move is the MoveVersion of the open move and to its target. In awaitingHandover,
	// move is that of the move by which the unit was acquired.
	move uint64
	to   cluster.Session
	// phaseSince is when the phase began, nextAt when its next message or check is due.
	phaseSince, nextAt time.Time
}

func (u *unit) inFlight() int64 {
	var n int64
	for _, c := range u.counters {
		n += c.n.Load()
	}
	return n
}

// compact drops inherited counters that reached zero. If Admit counts a request there
// later, it decided on an older snapshot and undoes the count.
func (u *unit) compact() {
	if len(u.counters) == 1 {
		return
	}
	kept := []*counter{u.counters[0]}
	for _, c := range u.counters[1:] {
		if c.n.Load() != 0 {
			kept = append(kept, c)
		}
	}
	u.counters = kept
}

// inherit adds the counters of old, and so its requests in flight, to u.
func (u *unit) inherit(old *unit) {
	for _, c := range old.counters {
		if !slices.Contains(u.counters, c) {
			u.counters = append(u.counters, c)
		}
	}
}

func (u *unit) enter(p phase, now time.Time) {
	u.phase, u.phaseSince, u.nextAt = p, now, now
}

func (u *unit) view(mut mutations) *unitView {
	v := &unitView{mustQueue: u.phase != serving, epoch: u.epoch, floorMS: u.floorMS, counters: u.counters}
	if mut.serveReleased && u.phase == released {
		v.mustQueue = false
	}
	if mut.ignoreFloor {
		v.floorMS = 0
	}
	return v
}

// overlaps reports whether requests of old may belong to u, which replaces it.
func (u *unit) overlaps(old *unit) bool {
	return u.id.Service == old.id.Service && u.span.First <= old.span.Last && old.span.First <= u.span.Last
}
