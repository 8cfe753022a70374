package node

import (
	"sync"
	"time"
)

const (
	// returnWindow is how long a refused request is remembered. Clients come back within
	// a third of the time they have left.
	returnWindow = 2 * time.Second
	// maxReturns bounds the refused requests that are remembered.
	maxReturns = 4096
)

// returns remembers when requests that were refused came first. A client that comes back
// as it was told has used up a part of its time: its request keeps its first target, so
// that the line in front of a backend server knows which callers can still be answered
// in time.
type returns struct {
	mu    sync.Mutex
	first map[uint64]time.Time // by fingerprint
}

// refused notes a refusal of a request that came first at a time.
func (r *returns) refused(fingerprint uint64, first time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.first) >= maxReturns {
		r.expire(time.Now())
	}
	if len(r.first) < maxReturns {
		r.first[fingerprint] = first
	}
}

// came returns when a request that arrives at now came first.
func (r *returns) came(fingerprint uint64, now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	first, ok := r.first[fingerprint]
	if !ok {
		return now
	}
	delete(r.first, fingerprint)
	if now.Sub(first) > returnWindow {
		return now
	}
	return first
}

func (r *returns) expire(now time.Time) {
	for f, first := range r.first {
		if now.Sub(first) > returnWindow {
			delete(r.first, f)
		}
	}
}
