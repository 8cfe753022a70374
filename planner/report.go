package planner

import "time"

// Report is one daemon's load over a window. The connection identifies the sender,
// so the report does not repeat its session. Loads are in thousandths of a slot:
// 1,000 means that one slot was busy the whole time.
type Report struct {
	// Version is the cluster version at which the sender read its list of units.
	Version uint64 `cbor:"1,keyasint"`
	// Units holds the load of each unit in the order of cluster.State.UnitsOf.
	Units []uint32 `cbor:"2,keyasint"`
	// Keys holds the heaviest keys, heaviest first; see RecorderConfig.MinKeyShare.
	Keys []KeyLoad `cbor:"3,keyasint,omitempty"`
	// ErrorPercent is the share of requests that failed, in percent.
	ErrorPercent uint8 `cbor:"4,keyasint,omitempty"`
	// ClaimedLoad is the load that the backend server's load endpoint claims. It is recorded
	// to show a difference from the measured load and does not affect plans.
	ClaimedLoad uint32 `cbor:"5,keyasint,omitempty"`
	// Occupied is the number of slots in use at the end of the window. It distinguishes a
	// frozen server, which finishes nothing, from an idle one.
	Occupied uint32 `cbor:"6,keyasint,omitempty"`
	// Down is true if the backend server does not accept requests.
	Down bool `cbor:"7,keyasint,omitempty"`
}

// KeyLoad is the load of one key of a unit.
type KeyLoad struct {
	_ struct{} `cbor:",toarray"`
	// Unit is the index of the key's unit in Report.Units.
	Unit uint32
	Hash uint64
	// Load is in thousandths of a slot.
	Load uint32
}

// reportBytes is the size of a report with 8 units; see design section 8.
const reportBytes = 60

// reportBudget limits what a planner receives from all members, in bytes per second.
const reportBudget = 10_000

// ReportInterval returns the shortest time between two reports of a daemon. It keeps what
// the planner of a cluster of members receives within 10 KB per second.
func ReportInterval(members int) time.Duration {
	return max(time.Second, time.Duration(members)*reportBytes*time.Second/reportBudget)
}
