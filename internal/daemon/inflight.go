package daemon

import (
	"context"
	"errors"
	"sync"
)

// errLeaseEnded is the cause with which requests on the backend server are cancelled when
// the lease ends.
var errLeaseEnded = errors.New("the lease ended")

// errBackendFrozen is the cause with which requests on a frozen backend server are
// cancelled after their deadlines.
var errBackendFrozen = errors.New("the backend server is frozen")

// inFlight holds the requests on the backend server, so that they can be cancelled
// together.
type inFlight struct {
	mu      sync.Mutex
	next    uint64
	cancels map[uint64]context.CancelCauseFunc
}

func newInFlight() *inFlight {
	return &inFlight{cancels: map[uint64]context.CancelCauseFunc{}}
}

// begin returns a context that cancelAll cancels, and a function that must be called when
// the request ends.
func (f *inFlight) begin(ctx context.Context) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	f.mu.Lock()
	f.next++
	id := f.next
	f.cancels[id] = cancel
	f.mu.Unlock()
	return ctx, func(cause error) {
		cancel(cause)
		f.mu.Lock()
		delete(f.cancels, id)
		f.mu.Unlock()
	}
}

// cancelAll cancels all requests and returns their number.
func (f *inFlight) cancelAll(cause error) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, cancel := range f.cancels {
		cancel(cause)
	}
	return len(f.cancels)
}

func (f *inFlight) len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.cancels)
}
