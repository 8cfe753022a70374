package memory

import "time"

// Faults makes a Store misbehave.
type Faults struct {
	// Down refuses every operation.
	Down bool
	// Delay is added to every operation.
	Delay time.Duration
	// LostAnswers is the share of commits, 0 to 1, that take effect but answer ErrUnknown.
	LostAnswers float64
	// Failures is the share of operations, 0 to 1, that fail without effect.
	Failures float64
}

// Counts is what a Store has done.
type Counts struct {
	Reads     uint64
	Writes    uint64
	Conflicts uint64
}

// Rates limits a Store, in operations a second; 0 is no limit.
type Rates struct {
	Reads  float64
	Writes float64
}
