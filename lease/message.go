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
	// witness drops its state of earlier generations.
	Confirmed uint64 `cbor:"5,keyasint,omitempty"`
	// Rank is the witness's position in the set. Witnesses of a higher rank escalate
	// later.
	Rank uint8 `cbor:"6,keyasint,omitempty"`
}

// Granted answers Renew: a seal of Generation by this witness takes effect only after
// Config.GrantDuration of true time has passed since the renewal with Sequence was
// sent.
type Granted struct {
	Session    cluster.Session `cbor:"1,keyasint"`
	Witness    cluster.Session `cbor:"2,keyasint"`
	Generation uint64          `cbor:"3,keyasint"`
	Sequence   uint64          `cbor:"4,keyasint"`
	// Load is the number of sessions with a valid grant of the witness.
	Load uint32 `cbor:"5,keyasint,omitempty"`
}

// RefusalReason says why a witness does not grant.
type RefusalReason uint8

// Values of RefusalReason. They are sent; do not renumber.
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
	// SealedUpTo is the highest sealed generation; set for RefusedSealed.
	SealedUpTo uint64 `cbor:"6,keyasint,omitempty"`
}

// Seal asks a witness never again to grant Session a generation up to Generation.
type Seal struct {
	Session    cluster.Session `cbor:"1,keyasint"`
	Witness    cluster.Session `cbor:"2,keyasint"`
	Generation uint64          `cbor:"3,keyasint"`
}

// SealStatus is the result of a Seal.
type SealStatus uint8

// Values of SealStatus. They are sent; do not renumber.
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
	// Remaining is how long, by the witness's clock, the holder may still rely on its
	// last grant; set for SealDone.
	Remaining time.Duration `cbor:"5,keyasint,omitempty"`
}

// Expired tells the planner that the grant of Witness to Session expired.
type Expired struct {
	Session    cluster.Session `cbor:"1,keyasint"`
	Witness    cluster.Session `cbor:"2,keyasint"`
	Generation uint64          `cbor:"3,keyasint"`
}
