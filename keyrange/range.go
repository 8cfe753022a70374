package keyrange

// Range is a span of keys with one owner.
type Range struct {
	Span
	// Owner may run requests for the keys; none while nobody owns them.
	Owner Owner
	// Fence is the fencing token of the owner. It grows with each change of owner.
	Fence uint64
	// Handover is the token with which the last owner released the keys. With it the
	// keys are warm on the new owner.
	Handover string
	// Next is the owner to which a planned move takes the keys; none without a move.
	Next Owner
}

// Moving reports whether a planned move is open.
func (r Range) Moving() bool { return !r.Next.None() }
