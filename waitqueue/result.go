package waitqueue

// Result is how a request ended that was sent to the backend server.
type Result uint8

const (
	// Failed means that the request did not run to its end, or not there at all.
	Failed Result = iota
	// Completed means that the request ran to its end.
	Completed
	// Declined means that the backend server refused the request at once.
	Declined
)
