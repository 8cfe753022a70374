// Package keyrange keeps which backend server owns which keys of a service whose keys are
// numbers in an ordered space. A Space is divided into Tables, each of which is the value of
// one row of the store. Each transition is checked and committed on the condition that the
// rows are unchanged, so a decision that was made on an old view is never applied.
package keyrange

// Owner is one life of a backend server.
type Owner struct {
	// Instance is the name of the machine.
	Instance string `cbor:"1,keyasint"`
	// Incarnation is one start of the backend server on the instance.
	Incarnation string `cbor:"2,keyasint"`
}

// None reports whether o is no owner.
func (o Owner) None() bool { return o == Owner{} }
