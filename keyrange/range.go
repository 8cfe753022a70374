package keyrange

// Range is a span of keys with one owner.
type Range struct {
	Span
	// Owner runs the requests for the keys; the zero Owner means that nobody owns them.
	Owner Owner
	// Fence is the fencing token of the owner. It increases with each change of owner.
	Fence uint64
	// Handover is the token with which the previous owner released the keys. With it the
	// keys are warm on the new owner.
	Handover string
	// Next is the target of a planned move in progress; the zero Owner if there is none.
	Next Owner
	// Confirmed is set if the range was recorded in the generation of its table.
	Confirmed bool
}

// Moving reports whether a planned move is in progress.
func (r Range) Moving() bool { return !r.Next.IsZero() }
