package memorybudget

import "time"

// Answer is the answer to a holder that is to hold more.
type Answer uint8

const (
	// Refused means that there is no room.
	Refused Answer = iota
	// Granted means that the bytes are accounted for.
	Granted
	// Wait means that connections are being closed for it: ask again when one has ended.
	Wait
)

// Decision is an answer with the connections that are closed for it.
type Decision struct {
	Answer Answer
	Close  []Closed
}

// Closed is a holder whose connection is closed to make room. Its bytes are counted until Remove.
type Closed struct {
	ID       ID
	Bytes    int64
	Activity Activity
	// Idle is how long the holder has not made progress.
	Idle time.Duration
}
