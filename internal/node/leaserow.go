package node

// leaseRow is the value of the row lease/<instance>.
type leaseRow struct {
	// Nonce is drawn for each write, so that a write without an answer is recognised.
	Nonce uint64 `cbor:"1,keyasint"`
	// Address is where other nodes reach the holder.
	Address string `cbor:"2,keyasint"`
}

// leaseOffer is a renewal that a holder asks the planner to write.
type leaseOffer struct {
	// Version is that of the row before the renewal.
	Version uint64   `cbor:"1,keyasint"`
	Row     leaseRow `cbor:"2,keyasint"`
}

// leaseRenewal is a renewal that the planner wrote.
type leaseRenewal struct {
	Nonce   uint64 `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}
