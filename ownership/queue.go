package ownership

import (
	"slices"
	"time"

	"github.com/basilway/basilway/cluster"
)

// QueuedRequest is a request that waits for its unit to move.
type QueuedRequest struct {
	// ID is chosen by the daemon and identifies the request in actions.
	ID       uint64
	Service  string
	Hash     uint64
	Deadline time.Time
}

// queue holds requests in the order of arrival. It stores their key hashes and not
// their units, so splits and merges of units do not affect it.
type queue struct{ requests []QueuedRequest }

func (q *queue) remove(id uint64) {
	q.requests = slices.DeleteFunc(q.requests, func(r QueuedRequest) bool { return r.ID == id })
}

func (m *Machine) enqueue(r QueuedRequest) {
	if len(m.queue.requests) >= m.config.MaxQueued || m.queuedFor(r) >= m.config.MaxQueuedUnit {
		m.emit(RejectQueued{ID: r.ID, Err: ErrQueueFull})
		return
	}
	m.queue.requests = append(m.queue.requests, r)
}

func (m *Machine) queuedFor(r QueuedRequest) int {
	_, unit := m.state.Owner(r.Service, r.Hash)
	n := 0
	for _, other := range m.queue.requests {
		if _, u := m.state.Owner(other.Service, other.Hash); u == unit {
			n++
		}
	}
	return n
}

// drainQueue removes the requests that no longer wait for a move, and those past their
// deadline.
func (m *Machine) drainQueue(now time.Time) {
	if len(m.queue.requests) == 0 {
		return
	}
	s := m.gate.snapshot.Load()
	kept := m.queue.requests[:0]
	for _, r := range m.queue.requests {
		_, v, err := m.gate.decide(s, r.Service, r.Hash, now)
		switch {
		case !now.Before(r.Deadline) && !m.mutations.keepOverdue:
			m.emit(RejectQueued{ID: r.ID, Err: ErrDeadline})
		case err != nil:
			m.emit(RejectQueued{ID: r.ID, Err: err})
		case !v.mustQueue:
			m.emit(StartQueued{ID: r.ID})
		default:
			kept = append(kept, r)
		}
	}
	m.queue.requests = kept
}

// Queued returns the number of requests queued for all units.
func (m *Machine) Queued() int { return len(m.queue.requests) }

// Units returns the units that this session owns at the applied cluster version.
func (m *Machine) Units() []cluster.Unit {
	out := make([]cluster.Unit, len(m.order))
	for i, u := range m.order {
		out[i] = u.id
	}
	return out
}
