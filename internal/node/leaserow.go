package node

// leaseRow is the value of the row lease/<instance>.
type leaseRow struct {
	// Nonce is random for each write, so that a write whose response was lost is recognized.
	Nonce uint64 `cbor:"1,keyasint"`
	// Address is where other nodes reach the lease holder.
	Address string `cbor:"2,keyasint"`
}

// renewalRequest asks the planner to renew a lease row.
type renewalRequest struct {
	// Version is the version of the row before the renewal.
	Version uint64   `cbor:"1,keyasint"`
	Row     leaseRow `cbor:"2,keyasint"`
}

// leaseRenewal is a renewal written by the planner.
type leaseRenewal struct {
	Nonce   uint64 `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}
