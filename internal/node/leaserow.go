package node

import "github.com/basilway/basilway/metastore"

// leaseRow is the value of the row lease/<instance>.
type leaseRow struct {
	// Nonce is random for each write, so that a write whose response was lost is recognized.
	Nonce uint64 `cbor:"1,keyasint"`
	// Address is where other nodes reach the lease holder.
	Address string `cbor:"2,keyasint"`
	// Acquired is the version of the row with which the holder acquired the lease. That row
	// itself has the generation only: after the store went back, its version shows another one.
	Acquired uint64 `cbor:"3,keyasint,omitempty"`
}

// acquiredAt returns the version of the store at which the holder of a row acquired the lease.
func (r leaseRow) acquiredAt(version uint64) uint64 {
	if metastore.Sequence(r.Acquired) == 0 {
		return metastore.VersionOf(metastore.Generation(r.Acquired), metastore.Sequence(version))
	}
	return r.Acquired
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
