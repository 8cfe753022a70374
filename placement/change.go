package placement

import "github.com/basilway/basilway/keyrange"

// Change is one step of a plan.
type Change struct {
	keyrange.Span
	// If From is the zero Owner, the keys have no owner and are assigned to To. Otherwise a
	// move from From to To begins.
	From, To keyrange.Owner
}

// Apply returns t with the change made. It fails if the change does not fit t.
func (c Change) Apply(t *keyrange.Space) (*keyrange.Space, error) {
	if c.From.IsZero() {
		return t.Assign(c.Span, c.To)
	}
	return t.BeginMove(c.Span, c.From, c.To)
}
