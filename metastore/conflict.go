package metastore

import (
	"errors"
	"fmt"
)

// ConflictError is an ErrConflict with what the store said about the rows of the failed
// transaction's conditions.
type ConflictError struct {
	// Rows are the present rows, as far as the store returned them. Rows that do not exist are
	// missing.
	Rows []Row
	// Message is the store's response in words.
	Message string
}

// Error implements error.
func (e *ConflictError) Error() string { return fmt.Sprintf("%v: %s", ErrConflict, e.Message) }

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// ConflictRows returns the present rows that came with a failed transaction, or none.
func ConflictRows(err error) []Row {
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return conflict.Rows
	}
	return nil
}
