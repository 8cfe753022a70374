// Package waitqueue decides which requests run on one backend server, which wait and
// which are refused. Queue is pure: it takes events and the time and returns what to do.
//
// It answers sustained overload with impatient callers: an answer within its target
// latency is worth several times a late one, so requests that cannot be answered in time
// are refused when they arrive rather than after they have waited.
package waitqueue

import "time"

// ID names a request in one Queue.
type ID uint64

// Item is a request for the backend server.
type Item struct {
	ID ID
	// Route names the kind of request, for estimates of its work.
	Route string
	// Nested requests were made by a request that holds a slot elsewhere meanwhile.
	Nested bool
	// Priority is the rank; 0 is the highest.
	Priority int
	// Target is the time by which an answer has its full value.
	Target time.Time
	// Deadline is when the caller gives up.
	Deadline time.Time
}
