// Package waitqueue decides which requests run on one backend server, which wait and
// which are refused. Queue does no I/O and reads no clock: it takes events and the time and
// returns decisions.
//
// It is made for sustained overload with impatient callers. A response within its
// target latency is worth several times a late one, so requests that cannot be answered in
// time are refused on arrival rather than after they have waited.
package waitqueue

import "time"

// ID identifies a request within one Queue.
type ID uint64

// Item is a request to the backend server.
type Item struct {
	ID ID
	// Route is the kind of request, by which its work is estimated.
	Route string
	// Fingerprint tells a request that comes back from others; 0 if it is not known.
	Fingerprint uint64
	// Nested is set for requests made by a request that runs elsewhere, which holds its slot
	// there until they are answered.
	Nested bool
	// Priority is the priority of the request; 0 is the highest.
	Priority int
	// Target is the time until which a response has its full value.
	Target time.Time
	// Deadline is when the caller gives up.
	Deadline time.Time
}
