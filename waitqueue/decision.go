package waitqueue

import "time"

// Verb is what happens to a request.
type Verb uint8

const (
	// Run sends the request to the backend server now.
	Run Verb = iota
	// Wait keeps it until a later Decision for it.
	Wait
	// Refuse ends it; it has not run.
	Refuse
)

// Decision is about one request.
type Decision struct {
	ID   ID
	Verb Verb
	// RetryAfter is set with Refuse: when there may be room.
	RetryAfter time.Duration
	// Expected is the wait that was expected when a request was refused.
	Expected time.Duration
}
