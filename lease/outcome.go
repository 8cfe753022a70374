package lease

import (
	"errors"

	"github.com/basilway/basilway/metastore"
)

// Outcome is the known result of a store operation.
type Outcome uint8

// Values of Outcome.
const (
	// OutcomeApplied means that a commit was applied or a read succeeded.
	OutcomeApplied Outcome = iota + 1
	// OutcomeConflict means that a condition did not hold.
	OutcomeConflict
	// OutcomeNotApplied means that the operation had no effect and never will.
	OutcomeNotApplied
	// OutcomeUnknown means that a commit may have been applied or may be applied later.
	OutcomeUnknown
)

// OutcomeOf returns the outcome that corresponds to the error of a store operation.
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
