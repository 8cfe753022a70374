package catalogue

import "fmt"

// ConflictError reports an edit of an entry that is not at the expected version.
type ConflictError struct {
	Service string
	// Expected is the version that the editor last read; 0 for a new entry.
	Expected uint64
	// Current is the current entry; its Version is 0 if there is none.
	Current Entry
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Current.Version == 0 {
		return fmt.Sprintf("entry %q does not exist, expected version %d", e.Service, e.Expected)
	}
	return fmt.Sprintf("entry %q is at version %d, expected %d", e.Service, e.Current.Version, e.Expected)
}

// OrderError reports that a change with version Got cannot be applied to a State at version
// Have, because it is not the next one. A change at or below Have was applied before and can
// be dropped; for a later one, changes are missing.
type OrderError struct {
	Have, Got uint64
}

// Error implements error.
func (e *OrderError) Error() string {
	return fmt.Sprintf("catalogue version %d does not follow version %d", e.Got, e.Have)
}

// Gap reports whether changes between Have and Got are missing.
func (e *OrderError) Gap() bool { return e.Got > e.Have }
