package placement

import "github.com/basilway/basilway/keyrange"

// Change is one step of a plan.
type Change struct {
	keyrange.Span
	// From is none if nobody owns the keys; then they are assigned, and otherwise a move
	// to To begins.
	From, To keyrange.Owner
}

// Apply makes the change in a table.
func (c Change) Apply(t *keyrange.Space) (*keyrange.Space, error) {
	if c.From.None() {
		return t.Assign(c.Span, c.To)
	}
	return t.BeginMove(c.Span, c.From, c.To)
}
