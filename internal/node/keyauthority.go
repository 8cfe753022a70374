package node

import (
	"slices"

	"github.com/basilway/basilway/keyrange"
)

// keyAuthority says which ranges of the local backend server's service this node may grant and
// change.
type keyAuthority struct {
	generation uint64
	settled    bool
	vouches    func(keyrange.Range) bool
	// delegated is set while the planner is to record the ranges that this node vouches for.
	delegated bool
}

// authority returns the authority over the ranges of the local backend server's service.
func (b *backend) authority() keyAuthority {
	g := b.node.generation
	planner := b.node.views.current().Planner.Instance
	return keyAuthority{
		generation: g.generation(), settled: g.settled(),
		delegated: planner != "" && planner != b.node.config.Instance && g.age() < plannerConfirmWait,
		vouches: func(r keyrange.Range) bool {
			b.mu.Lock()
			releasing := b.tracker != nil && b.tracker.Releasing(r)
			b.mu.Unlock()
			return !releasing && g.vouches(b.node.config.Service, r)
		},
	}
}

// owns reports whether the owner of r in space certainly owns it: it was recorded in the
// present generation, or this node vouches for it.
func (a keyAuthority) owns(space *keyrange.Space, r keyrange.Range) bool {
	return space.SettledIn(a.generation, r.From) || a.vouches(r)
}

// mayTake reports whether the keys of an owner on this instance may be taken from it.
func (a keyAuthority) mayTake(space *keyrange.Space, owner keyrange.Owner) bool {
	if a.settled {
		return true
	}
	for _, r := range space.OwnedBy(owner) {
		if !a.owns(space, r) {
			return false
		}
	}
	return true
}

// unrecorded returns the ranges of owner that this node vouches for and that are not recorded in
// the present generation.
func (a keyAuthority) unrecorded(space *keyrange.Space, owner keyrange.Owner) []keyrange.Range {
	return slices.DeleteFunc(space.OwnedBy(owner), func(r keyrange.Range) bool {
		return space.SettledIn(a.generation, r.From) || !a.vouches(r)
	})
}

// reassert returns the space with the ranges of owner recorded in the present generation: those
// that the node vouches for as they are, unless the planner is to do so, and others with new fencing
// tokens once that is safe.
func (a keyAuthority) reassert(space *keyrange.Space, owner keyrange.Owner) (next *keyrange.Space, changed bool) {
	unrecorded := func(r keyrange.Range) bool { return r.Owner == owner && !space.SettledIn(a.generation, r.From) }
	confirm := func(r keyrange.Range) bool { return unrecorded(r) && a.vouches(r) && !a.delegated }
	renew := func(r keyrange.Range) bool { return a.settled && unrecorded(r) && !a.vouches(r) }
	next = space
	for _, r := range space.OwnedBy(owner) {
		changed = changed || confirm(r) || renew(r)
	}
	if changed {
		next = space.Confirm(confirm).Renew(renew)
	}
	return next, changed
}
