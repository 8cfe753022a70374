package waitqueue

import "time"

// Action says what happens to a request.
type Action uint8

const (
	// Run sends the request to the backend server now.
	Run Action = iota
	// Wait keeps the request queued until a later Decision for it.
	Wait
	// Refuse ends the request, which has not run.
	Refuse
)

// Decision says what happens to one request.
type Decision struct {
	ID     ID
	Action Action
	// RetryAfter is the time after which there may be room for the request; set with Refuse.
	RetryAfter time.Duration
	// Expected is the expected wait at the time of the refusal; set with Refuse.
	Expected time.Duration
	// RateLimited is set with Refuse if the backend server's limit in requests per second is
	// used up.
	RateLimited bool
	// Cold is set with RateLimited if the backend server is, or may be, cold.
	Cold bool
}
