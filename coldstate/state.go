// Package coldstate keeps what is known of whether a backend server is cold: slow after its
// start, or slow again at any later time, and unable to take more than a few requests per second.
// Tracker does no I/O and reads no clock.
package coldstate

// State is what is known of a backend server.
type State uint8

const (
	// Unknown means that the backend server has not stated whether it is cold, or too long ago.
	// It must be treated as cold.
	Unknown State = iota
	// Cold backend servers are slow and take few requests per second.
	Cold
	// Warm backend servers take all requests that they have slots for.
	Warm
)

// String returns the state's name for logs.
func (s State) String() string { return [...]string{"unknown", "cold", "warm"}[s] }
