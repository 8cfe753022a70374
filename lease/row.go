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

// RenewalKey returns the key of the row that a session writes at each renewal if the
// store is one of its witnesses.
func RenewalKey(s cluster.Session) string { return "renewal/" + s.String() }

// RowState is the state of a session row.
type RowState uint8

// Values of RowState. They are stored; do not renumber.
const (
	RowActive RowState = 1
	// RowFenced is final: the session's lease has ended and never becomes valid again.
	RowFenced RowState = 2
)

// WitnessSet holds the witnesses of one generation of a lease.
type WitnessSet struct {
	Generation uint64            `cbor:"1,keyasint"`
	Witnesses  []cluster.Session `cbor:"2,keyasint,omitempty"`
	// Store says whether the store is an additional witness.
	Store bool `cbor:"3,keyasint,omitempty"`
}

// Size returns the number of witnesses, including the store.
func (s WitnessSet) Size() int {
	if s.Store {
		return len(s.Witnesses) + 1
	}
	return len(s.Witnesses)
}

// Quorum returns the number of grants that make the lease valid.
func (s WitnessSet) Quorum() int { return (s.Size() + 1) / 2 }

// SealQuorum returns the number of seals that rule out a quorum of grants.
func (s WitnessSet) SealQuorum() int { return s.Size() - s.Quorum() + 1 }

// index returns the position of w, or -1.
func (s WitnessSet) index(w cluster.Session) int { return slices.Index(s.Witnesses, w) }

// sameWitnesses reports whether two sets name the same witnesses.
func (s WitnessSet) sameWitnesses(o WitnessSet) bool {
	if s.Store != o.Store || len(s.Witnesses) != len(o.Witnesses) {
		return false
	}
	return !slices.ContainsFunc(s.Witnesses, func(w cluster.Session) bool { return o.index(w) < 0 })
}

// SessionRow is the value of a session row.
type SessionRow struct {
	WitnessSet WitnessSet `cbor:"1,keyasint"`
	State      RowState   `cbor:"2,keyasint"`
}

// RenewalRow is the value of a renewal row.
type RenewalRow struct {
	Sequence uint64 `cbor:"1,keyasint"`
}

// Encode returns the row value as CBOR.
func (r SessionRow) Encode() []byte { return encode(r) }

// Encode returns the row value as CBOR.
func (r RenewalRow) Encode() []byte { return encode(r) }

// DecodeSessionRow decodes the result of SessionRow.Encode. An error means that the
// row is corrupt.
func DecodeSessionRow(row metastore.Row) (SessionRow, error) {
	var r SessionRow
	if err := cbor.Unmarshal(row.Value, &r); err != nil {
		return SessionRow{}, fmt.Errorf("decode session row %s: %w", row.Key, err)
	}
	return r, nil
}

// encode returns v as CBOR. It panics on an error, which the types of this package
// cannot cause.
func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
