package node

import (
	"go.uber.org/zap"

	"github.com/basilway/basilway/keyrange"
)

const (
	// coalesceFrom is the number of ranges of a backend server from which adjacent ones are joined. The reply to a
	// heartbeat lists each range, and its size is limited.
	coalesceFrom = 48
	// coalesceGain is the number of ranges that joining must save: it writes rows and issues tokens.
	coalesceGain = 8
)

// coalesce returns the key table with the adjacent ranges of the backend server joined if it has many. Only ranges that
// it reports to hold are joined, so that no handover is lost.
func (b *backend) coalesce(t *keyrange.Space, m Member, generation uint64) *keyrange.Space {
	owned := t.OwnedBy(m.Owner)
	if m.State != BackendReady || len(owned) < coalesceFrom {
		return t
	}
	held := map[keyrange.Span]bool{}
	b.mu.Lock()
	for _, r := range owned {
		held[r.Span] = b.tracker.Holding(r) && !b.tracker.Releasing(r)
	}
	b.mu.Unlock()
	next := t.Coalesce(m.Owner, func(r keyrange.Range) bool { return held[r.Span] && t.SettledIn(generation, r.From) })
	if saved := len(owned) - len(next.OwnedBy(m.Owner)); saved >= coalesceGain {
		b.log.Info("adjacent ranges joined", zap.Int("ranges", len(owned)), zap.Int("saved", saved))
		return next
	}
	return t
}
