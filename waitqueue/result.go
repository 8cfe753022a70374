package waitqueue

// Result is how a request that was sent to the backend server ended.
type Result uint8

const (
	// Failed means that the request did not run to completion, or did not run there at all.
	Failed Result = iota
	// Completed means that the request ran to completion.
	Completed
	// Declined means that the backend server refused the request at once.
	Declined
)
