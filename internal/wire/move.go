package wire

import (
	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/planner"
	"github.com/basilway/basilway/quarantine"
)

// LoadReport carries a daemon's load to the planner.
type LoadReport struct {
	Session cluster.Session `cbor:"1,keyasint"`
	Report  planner.Report  `cbor:"2,keyasint"`
}

// ReleasedReply says whether the planner will commit the new owner.
type ReleasedReply struct {
	Accepted bool `cbor:"1,keyasint"`
}

// Strikes spreads quarantine records.
type Strikes struct {
	Records []quarantine.Record `cbor:"1,keyasint"`
	From    string              `cbor:"2,keyasint"`
}
