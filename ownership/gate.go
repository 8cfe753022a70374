package ownership

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/basilway/basilway/cluster"
)

// Decision says what to do with a request for which Gate.Admit returned no error.
type Decision uint8

// Values of Decision.
const (
	// Serve means that the request counts as in flight; the caller must call Gate.End.
	Serve Decision = iota
	// Queue means that the unit is moving; the caller passes RequestQueued to
	// Machine.Handle.
	Queue
)

// counter counts the requests in flight that were admitted to a unit. After a split or
// merge, the new units take it over until these requests have ended.
type counter struct{ n atomic.Int64 }

// Ticket identifies an admitted request.
type Ticket struct {
	Service string
	Hash    uint64
	// Unit and Epoch go into the grant for the backend server.
	Unit  cluster.Unit
	Epoch uint64
	// FloorMS is the unit's floor in Unix milliseconds, to pass to the memory of
	// request ids.
	FloorMS  int64
	Deadline time.Time
	counter  *counter
}

// unitView is the gate's read-only view of an owned unit.
type unitView struct {
	mustQueue bool
	epoch     uint64
	floorMS   int64
	counters  []*counter // the first counts new requests
}

// snapshot is the state that Gate decides on. It is immutable after publication.
type snapshot struct {
	state   *cluster.State
	units   map[cluster.Unit]*unitView
	backend BackendState
}

// Gate admits requests. All methods are safe for concurrent use with each other and
// with Machine.Handle.
//
// The machine publishes an immutable snapshot through an atomic pointer. Admit counts a
// request and then checks whether the snapshot that it decided on is still current; if
// not, it undoes the count and decides again. The machine reads a count only after it
// has published that the unit admits no more requests. So either Admit sees the new
// snapshot, or the machine sees the count.
type Gate struct {
	self     cluster.Session
	base     time.Time
	snapshot atomic.Pointer[snapshot]
	// leaseUntil is the end of the lease, lastDeadline the latest deadline of an
	// admitted request, both in nanoseconds after base.
	leaseUntil   atomic.Int64
	lastDeadline atomic.Int64
}

// Admit decides whether to serve or queue a request for the key hash of service. The
// error is a *NotOwnerError, ErrLeaseLost, ErrBackendNotReady or ErrDeadline.
func (g *Gate) Admit(service string, hash uint64, deadline, now time.Time) (Decision, Ticket, error) {
	if !now.Before(deadline) {
		return 0, Ticket{}, ErrDeadline
	}
	for {
		s := g.snapshot.Load()
		unit, v, err := g.decide(s, service, hash, now)
		if err != nil {
			return 0, Ticket{}, err
		}
		if v.mustQueue {
			return Queue, Ticket{}, nil
		}
		c := v.counters[0]
		c.n.Add(1)
		if g.snapshot.Load() != s {
			c.n.Add(-1)
			continue
		}
		g.recordDeadline(deadline)
		return Serve, Ticket{
			Service: service, Hash: hash, Unit: unit, Epoch: v.epoch,
			FloorMS: v.floorMS, Deadline: deadline, counter: c,
		}, nil
	}
}

func (g *Gate) decide(s *snapshot, service string, hash uint64, now time.Time) (cluster.Unit, *unitView, error) {
	o, unit := s.state.Owner(service, hash)
	if o.Owner != g.self {
		return unit, nil, &NotOwnerError{Unit: unit, Owner: o.Owner, Version: s.state.Version}
	}
	if !g.LeaseValid(now) {
		return unit, nil, ErrLeaseLost
	}
	v := s.units[unit]
	if !v.mustQueue && s.backend != BackendUp {
		return unit, nil, ErrBackendNotReady
	}
	return unit, v, nil
}

// CheckSend must be called immediately before the request is written to the backend
// server. If it returns an error, which has verdict NotRun, the request must not be
// written.
func (g *Gate) CheckSend(t Ticket, now time.Time) error {
	if !g.LeaseValid(now) {
		return ErrLeaseLost
	}
	if !now.Before(t.Deadline) {
		return ErrDeadline
	}
	s := g.snapshot.Load()
	o, unit := s.state.Owner(t.Service, t.Hash)
	if o.Owner != g.self || !slices.Contains(s.units[unit].counters, t.counter) {
		return &NotOwnerError{Unit: unit, Owner: o.Owner, Version: s.state.Version}
	}
	if s.backend != BackendUp {
		return ErrBackendNotReady
	}
	return nil
}

// End ends an admitted request; it must be called once for each. If it returns true, a
// move or the backend server's state may be waiting for this, and the caller must pass
// RequestEnded to Machine.Handle.
func (g *Gate) End(t Ticket) bool {
	if t.counter.n.Add(-1) > 0 {
		return false
	}
	s := g.snapshot.Load()
	if s.backend != BackendUp {
		return true
	}
	_, unit := s.state.Owner(t.Service, t.Hash)
	v := s.units[unit]
	return v == nil || v.mustQueue
}

// LeaseValid reports whether the lease is valid at now. Call it again after the
// write to the backend server to detect a pause in between.
func (g *Gate) LeaseValid(now time.Time) bool {
	return int64(now.Sub(g.base)) < g.leaseUntil.Load()
}

// LeaseUntil returns the end of the lease, which goes into the grant for the backend
// server.
func (g *Gate) LeaseUntil() time.Time { return g.base.Add(time.Duration(g.leaseUntil.Load())) }

func (g *Gate) setLease(until time.Time) {
	if until.IsZero() {
		g.leaseUntil.Store(math.MinInt64)
		return
	}
	g.leaseUntil.Store(int64(until.Sub(g.base)))
}

func (g *Gate) recordDeadline(deadline time.Time) {
	d := int64(deadline.Sub(g.base))
	for {
		last := g.lastDeadline.Load()
		if d <= last || g.lastDeadline.CompareAndSwap(last, d) {
			return
		}
	}
}
