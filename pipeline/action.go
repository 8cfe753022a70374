package pipeline

// ID identifies a request within one Conn.
type ID uint64

// Mode says how a request runs beside others.
type Mode uint8

const (
	// Alone requests run only while no other request of the connection runs.
	Alone Mode = iota
	// Concurrent requests are idempotent and run at the same time as others.
	Concurrent
)

// Kind is the kind of an Action.
type Kind uint8

const (
	// Run lets the handler of the request run it.
	Run Kind = iota
	// Drop ends the request without an answer. If it is not running, it never runs.
	Drop
	// Write lets the response be written to the connection.
	Write
	// Written says that the whole response has been written and that the request is forgotten.
	Written
	// HandOver gives the rest of the connection, beginning with bytes already read, to
	// another reader. The Conn ends.
	HandOver
	// Close closes the connection. The Conn ends.
	Close
)

// Action is something to do, in the order in which actions are returned. ID is not set for
// HandOver and Close.
type Action struct {
	Kind Kind
	ID   ID
}
