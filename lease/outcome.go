package lease

import (
	"errors"

	"github.com/basilway/basilway/metastore"
)

// Outcome is what is known about an operation on the table.
type Outcome uint8

// The outcomes.
const (
	// OutcomeApplied means that a commit was applied or a read has its answer.
	OutcomeApplied Outcome = iota + 1
	// OutcomeConflict means that a condition did not hold.
	OutcomeConflict
	// OutcomeNotApplied means that the operation had no effect and never will.
	OutcomeNotApplied
	// OutcomeUnknown means that a commit may have been applied or may apply later.
	OutcomeUnknown
)

// OutcomeOf returns the outcome for the error of a table operation.
func OutcomeOf(err error) Outcome {
	switch {
	case err == nil:
		return OutcomeApplied
	case errors.Is(err, metastore.ErrUnknown):
		return OutcomeUnknown
	case errors.Is(err, metastore.ErrConflict):
		return OutcomeConflict
	case errors.Is(err, metastore.ErrUnavailable):
		return OutcomeNotApplied
	default:
		return OutcomeUnknown
	}
}
