package ownership

import (
	"slices"
	"time"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/dedupe"
)

type phase uint8

const (
	// awaiting: owned by a planned move whose hand-over has not arrived.
	awaiting phase = iota
	serving
	// draining: a move is open and requests are in flight.
	draining
	// handingOver: nothing is in flight; the hand-over is not acknowledged.
	handingOver
	// released: only a later cluster version decides who serves.
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
	// received is when this session became the owner.
	received time.Time
	// move and to describe the open move, or with awaiting the one that ended.
	move uint64
	to   cluster.Session
	// since is when the phase began, next when its message is due again.
	since, next time.Time
}

func (u *unit) inFlight() int64 {
	var n int64
	for _, c := range u.counters {
		n += c.n.Load()
	}
	return n
}

// compact drops inherited counters that reached zero. A request that counts there
// later decided on an older snapshot and takes its count back.
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

// inherit passes the requests in flight of old on to u.
func (u *unit) inherit(old *unit) {
	for _, c := range old.counters {
		if !slices.Contains(u.counters, c) {
			u.counters = append(u.counters, c)
		}
	}
}

func (u *unit) enter(p phase, now time.Time) {
	u.phase, u.since, u.next = p, now, now
}

func (u *unit) view(b breaks) *view {
	v := &view{queue: u.phase != serving, epoch: u.epoch, floorMS: u.floorMS, counters: u.counters}
	if b.serveReleased && u.phase == released {
		v.queue = false
	}
	if b.ignoreFloor {
		v.floorMS = 0
	}
	return v
}

// overlaps reports whether requests of old may belong to u, which replaces it.
func (u *unit) overlaps(old *unit) bool {
	return u.id.Service == old.id.Service && u.span.First <= old.span.Last && old.span.First <= u.span.Last
}
