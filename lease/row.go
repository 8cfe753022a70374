package lease

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/metastore"
)

// SessionKey returns the key of a session's row.
func SessionKey(s cluster.Session) string { return "session/" + s.String() }

// RenewalKey returns the key of the row that a session with the store as witness
// writes at each renewal.
func RenewalKey(s cluster.Session) string { return "renewal/" + s.String() }

// RowState is the state of a session row.
type RowState uint8

// The states of a session row. Values are stored; do not renumber.
const (
	RowActive RowState = 1
	// RowFenced is final: the session's lease has ended and never returns.
	RowFenced RowState = 2
)

// Set is a witness set of one generation.
type Set struct {
	Generation uint64            `cbor:"1,keyasint"`
	Witnesses  []cluster.Session `cbor:"2,keyasint,omitempty"`
	// Store says that the table is one more witness.
	Store bool `cbor:"3,keyasint,omitempty"`
}

// Size returns the number of witnesses, the store included.
func (s Set) Size() int {
	if s.Store {
		return len(s.Witnesses) + 1
	}
	return len(s.Witnesses)
}

// Quorum returns how many grants make the lease valid.
func (s Set) Quorum() int { return (s.Size() + 1) / 2 }

// Seals returns how many seals exclude a quorum of grants.
func (s Set) Seals() int { return s.Size() - s.Quorum() + 1 }

// index returns the position of w, or -1.
func (s Set) index(w cluster.Session) int { return slices.Index(s.Witnesses, w) }

// sameWitnesses reports whether two sets name the same witnesses.
func (s Set) sameWitnesses(o Set) bool {
	if s.Store != o.Store || len(s.Witnesses) != len(o.Witnesses) {
		return false
	}
	return !slices.ContainsFunc(s.Witnesses, func(w cluster.Session) bool { return o.index(w) < 0 })
}

// SessionRow is the value of a session row.
type SessionRow struct {
	Set   Set      `cbor:"1,keyasint"`
	State RowState `cbor:"2,keyasint"`
}

// RenewalRow is the value of a renewal row.
type RenewalRow struct {
	Sequence uint64 `cbor:"1,keyasint"`
}

// Encode returns the stored form.
func (r SessionRow) Encode() []byte { return encode(r) }

// Encode returns the stored form.
func (r RenewalRow) Encode() []byte { return encode(r) }

// DecodeSessionRow reverses SessionRow.Encode. Its error means a corrupt row.
func DecodeSessionRow(row metastore.Row) (SessionRow, error) {
	var r SessionRow
	if err := cbor.Unmarshal(row.Value, &r); err != nil {
		return SessionRow{}, fmt.Errorf("row %s: %w", row.Key, err)
	}
	return r, nil
}

// encode panics on an error, which the fixed types of this package cannot cause.
func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
