package node

import (
	"errors"

	"github.com/basilway/basilway/keyrange"
	"github.com/basilway/basilway/metastore"
)

// keyDrops are the writes under way that take the keys from incarnations of the local backend server. From
// when a write may take effect until its outcome is known, the keys must not be granted to the incarnation,
// even if it sends heartbeats again. The zero value has none. It is not safe for concurrent use.
type keyDrops struct {
	// pending maps an incarnation to whether an earlier try may still take effect.
	pending map[keyrange.Owner]bool
}

// begin records that a try to drop the keys of owner is about to be sent.
func (d *keyDrops) begin(owner keyrange.Owner) {
	if d.pending == nil {
		d.pending = map[keyrange.Owner]bool{}
	}
	if _, ok := d.pending[owner]; !ok {
		d.pending[owner] = false
	}
}

// tried records the outcome of the try for owner.
func (d *keyDrops) tried(owner keyrange.Owner, err error) {
	uncertain, ok := d.pending[owner]
	if !ok {
		return
	}
	switch {
	case err == nil:
		delete(d.pending, owner)
	case errors.Is(err, metastore.ErrUnknown):
		d.pending[owner] = true
	case errors.Is(err, errNoChange), errors.Is(err, errNoLease), errors.Is(err, metastore.ErrConflict), errors.Is(err, metastore.ErrUnavailable):
		if !uncertain {
			delete(d.pending, owner)
		}
	default:
		d.pending[owner] = true
	}
}

// ended records that the key table shows no keys of owner any more.
func (d *keyDrops) ended(owner keyrange.Owner) { delete(d.pending, owner) }

// withholds reports whether the keys of owner must not be granted.
func (d *keyDrops) withholds(owner keyrange.Owner) bool {
	_, ok := d.pending[owner]
	return ok
}

// uncertain reports whether an earlier try to drop the keys of owner may still take effect, so that it has to
// be completed whatever the state of the backend server.
func (d *keyDrops) uncertain(owner keyrange.Owner) bool { return d.pending[owner] }
