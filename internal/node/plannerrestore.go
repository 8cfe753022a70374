package node

import (
	"slices"

	"github.com/basilway/basilway/keyrange"
	"github.com/basilway/basilway/placement"
)

// withoutUnsettled removes the changes that give away keys without an owner, while a lost owner
// may still hold them.
func (p *planner) withoutUnsettled(table *keyrange.Space, changes []placement.Change) []placement.Change {
	if p.node.generation.settled() {
		return changes
	}
	generation := p.node.generation.generation()
	return slices.DeleteFunc(changes, func(c placement.Change) bool {
		return c.From.IsZero() && !table.SettledIn(generation, c.Span.From)
	})
}
