package wire

import (
	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/planner"
	"github.com/basilway/basilway/quarantine"
)

// LoadReport is the load of one daemon.
type LoadReport struct {
	Session cluster.Session `cbor:"1,keyasint"`
	Report  planner.Report  `cbor:"2,keyasint"`
}

// LoadReports carries the reports of one or more daemons to the planner or to a relay.
type LoadReports struct {
	Reports []LoadReport `cbor:"1,keyasint"`
}

// ReleasedReply says whether the planner will commit the new owner of a released unit.
type ReleasedReply struct {
	Accepted bool `cbor:"1,keyasint"`
}

// Strikes spreads quarantine records.
type Strikes struct {
	Records []quarantine.Record `cbor:"1,keyasint"`
	// From is the sender's address; the receiver need not send the records back to it.
	From string `cbor:"2,keyasint"`
}
