// Package backendstatus keeps what backend servers state about themselves in their responses:
// how many requests a second they take, and whether they are leaving. Table does no I/O and
// reads no clock.
package backendstatus

// Report is what a backend server states in one response.
type Report struct {
	// Limited is set if the backend server takes only Limit requests a second from all nodes
	// together.
	Limited bool
	Limit   float64
	// Leaving is set if the backend server is about to end.
	Leaving bool
}
