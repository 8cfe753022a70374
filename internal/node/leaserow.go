package node

// leaseRow is the value of the row lease/<instance>.
type leaseRow struct {
	// Nonce is drawn for each write, so that a write without an answer is recognised.
	Nonce uint64 `cbor:"1,keyasint"`
	// Address is where other nodes reach the holder.
	Address string `cbor:"2,keyasint"`
}
