package lease

import (
	"time"

	"github.com/basilway/basilway/cluster"
)

// Renew asks a witness for a grant.
type Renew struct {
	Session cluster.Session `cbor:"1,keyasint"`
	// Witness is the addressed incarnation; another one refuses.
	Witness    cluster.Session `cbor:"2,keyasint"`
	Generation uint64          `cbor:"3,keyasint"`
	Sequence   uint64          `cbor:"4,keyasint"`
	// Confirmed is the latest generation that the sender knows to be committed. The
	// witness drops what it knows about earlier ones.
	Confirmed uint64 `cbor:"5,keyasint,omitempty"`
	// Rank is the witness's position in the set; it orders escalations.
	Rank uint8 `cbor:"6,keyasint,omitempty"`
}

// Granted answers Renew: the witness does not seal Generation before
// GrantDuration of true time has passed since the send time of Sequence.
type Granted struct {
	Session    cluster.Session `cbor:"1,keyasint"`
	Witness    cluster.Session `cbor:"2,keyasint"`
	Generation uint64          `cbor:"3,keyasint"`
	Sequence   uint64          `cbor:"4,keyasint"`
	// Load is the number of sessions that the witness serves.
	Load uint32 `cbor:"5,keyasint,omitempty"`
}

// RefusalReason says why a witness does not grant.
type RefusalReason uint8

// The reasons. Values are sent; do not renumber.
const (
	// RefusedSealed means that the witness sealed the generation.
	RefusedSealed RefusalReason = 1
	// RefusedIncarnation means that the addressed incarnation no longer runs.
	RefusedIncarnation RefusalReason = 2
)

// Refused answers Renew.
type Refused struct {
	Session cluster.Session `cbor:"1,keyasint"`
	// Witness is the incarnation that was addressed.
	Witness    cluster.Session `cbor:"2,keyasint"`
	Generation uint64          `cbor:"3,keyasint"`
	Sequence   uint64          `cbor:"4,keyasint"`
	Reason     RefusalReason   `cbor:"5,keyasint"`
	// SealedUpTo is the highest sealed generation for RefusedSealed.
	SealedUpTo uint64 `cbor:"6,keyasint,omitempty"`
}

// Seal asks a witness never to grant to Session again up to Generation.
type Seal struct {
	Session    cluster.Session `cbor:"1,keyasint"`
	Witness    cluster.Session `cbor:"2,keyasint"`
	Generation uint64          `cbor:"3,keyasint"`
}

// SealStatus is the answer to Seal.
type SealStatus uint8

// The answers. Values are sent; do not renumber.
const (
	// SealDone means that the witness sealed the generation.
	SealDone SealStatus = 1
	// SealDeclined means that the witness granted recently; nothing is sealed.
	SealDeclined SealStatus = 2
	// SealIncarnation means that the addressed incarnation no longer runs, so it
	// can neither grant nor seal.
	SealIncarnation SealStatus = 3
)

// Sealed answers Seal.
type Sealed struct {
	Session cluster.Session `cbor:"1,keyasint"`
	// Witness is the incarnation that was addressed.
	Witness    cluster.Session `cbor:"2,keyasint"`
	Generation uint64          `cbor:"3,keyasint"`
	Status     SealStatus      `cbor:"4,keyasint"`
	// Remaining is how long, by the witness's clock, its last grant may still be
	// relied on; it counts for SealDone.
	Remaining time.Duration `cbor:"5,keyasint,omitempty"`
}

// Expired tells the planner that the grant of Witness to Session expired.
type Expired struct {
	Session    cluster.Session `cbor:"1,keyasint"`
	Witness    cluster.Session `cbor:"2,keyasint"`
	Generation uint64          `cbor:"3,keyasint"`
}
