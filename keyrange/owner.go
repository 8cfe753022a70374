// Package keyrange records which backend server owns which keys of a service whose keys are
// numbers in an ordered space. A Space consists of Tables, each of which is stored as one
// row of the store. Each transition is checked and committed on the condition that the rows
// are unchanged, so a decision based on an outdated view is never applied.
package keyrange

// Owner identifies one incarnation of a backend server.
type Owner struct {
	// Instance is the name of the instance on which the backend server runs.
	Instance string `cbor:"1,keyasint"`
	// Incarnation identifies one start of the backend server on the instance.
	Incarnation string `cbor:"2,keyasint"`
}

// IsZero reports whether o is the zero Owner, which stands for no owner.
func (o Owner) IsZero() bool { return o == Owner{} }
