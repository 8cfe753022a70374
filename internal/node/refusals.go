package node

import (
	"sync"
	"time"
)

const (
	// refusalRetention is how long a refused request is remembered. Clients retry within a
	// third of the time they have left.
	refusalRetention = 2 * time.Second
	// maxRefusals bounds the number of refused requests that are remembered.
	maxRefusals = 4096
)

// refusals remembers when refused requests first arrived. A client that retries after the
// given Retry-After has used up part of its time. Its request keeps its first target time,
// so that the queue of a backend server knows which requests can still be answered in time.
type refusals struct {
	mu    sync.Mutex
	first map[uint64]time.Time // by fingerprint
}

// recordRefusal remembers a refused request that first arrived at first.
func (r *refusals) recordRefusal(fingerprint uint64, first time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.first) >= maxRefusals {
		r.expire(time.Now())
	}
	if len(r.first) < maxRefusals {
		r.first[fingerprint] = first
	}
}

// firstArrival returns when a request that arrives at now first arrived. It forgets the
// refusal of the request.
func (r *refusals) firstArrival(fingerprint uint64, now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	first, ok := r.first[fingerprint]
	if !ok {
		return now
	}
	delete(r.first, fingerprint)
	if now.Sub(first) > refusalRetention {
		return now
	}
	return first
}

func (r *refusals) expire(now time.Time) {
	for f, first := range r.first {
		if now.Sub(first) > refusalRetention {
			delete(r.first, f)
		}
	}
}
