package memory

import "time"

// Faults are the faults that a Store injects.
type Faults struct {
	// Down rejects every operation.
	Down bool
	// Reset is Down by connection resets: the outcome of a commit is unknown, although it has no effect.
	Reset bool
	// Delay is added to every operation.
	Delay time.Duration
	// LostResponses is the share of commits, 0 to 1, that take effect but return ErrUnknown.
	LostResponses float64
	// Failures is the share of operations, 0 to 1, that fail and have no effect.
	Failures float64
}

// Counts holds the numbers of operations of a Store.
type Counts struct {
	Reads     uint64
	Writes    uint64
	Conflicts uint64
}

// Rates limits the operations of a Store per second; 0 means no limit.
type Rates struct {
	Reads  float64
	Writes float64
}
