package daemon

import (
	"context"
	"errors"
	"fmt"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/feed"
	"github.com/basilway/basilway/metastore"
)

// maxAppendAttempts bounds the attempts to append while other daemons append at the same
// time. Daemons that start together compete for the head.
const maxAppendAttempts = 50

// maxNotified bounds the daemons that are notified of a change directly; the others get
// it from their peers.
const maxNotified = 128

// clusterWriter appends to the cluster feed.
type clusterWriter struct {
	replicas *replicas
	writer   *feed.Writer
}

// update appends the entries that build returns for the latest state, with the extra
// conditions and writes in the same transaction. After a conflict on the head it
// calls build again with the new state. It returns nil if build has no entries.
func (w *clusterWriter) update(ctx context.Context, build func(*cluster.State) ([]cluster.Entry, metastore.Txn, error)) error {
	for range maxAppendAttempts {
		state := w.replicas.cluster()
		entries, extra, err := build(state)
		if err != nil || len(entries) == 0 {
			return err
		}
		err = w.append(ctx, state, entries, extra)
		if !errors.Is(err, metastore.ErrConflict) {
			return err
		}
		before := state.Version
		if err := w.replicas.catchUp(ctx, feed.TopicCluster); err != nil {
			return fmt.Errorf("%w: %w", metastore.ErrUnavailable, err)
		}
		if w.replicas.cluster().Version == before {
			return err // one of the extra conditions failed, not the one on the head
		}
	}
	return fmt.Errorf("%w: too many appends to the cluster feed at once", metastore.ErrUnavailable)
}

func (w *clusterWriter) append(ctx context.Context, state *cluster.State, entries []cluster.Entry, extra metastore.Txn) error {
	if err := state.Check(entries); err != nil {
		return err
	}
	body, err := cluster.EncodeEntries(entries)
	if err != nil {
		return err
	}
	record, err := w.writer.Append(ctx, feed.TopicCluster, state.Version, body, extra)
	if err != nil {
		return err
	}
	w.replicas.notify(affectedAddresses(state, entries), feed.TopicCluster, []feed.Record{record})
	return w.replicas.applyAndWait(context.WithoutCancel(ctx), feed.TopicCluster, []feed.Record{record})
}

// affectedAddresses returns the addresses of the daemons whose ownership a change
// affects. They are notified directly, because the keys are not served until they know
// it.
func affectedAddresses(state *cluster.State, entries []cluster.Entry) []string {
	sessions := map[cluster.Session]bool{}
	for _, e := range entries {
		switch e.Kind {
		case cluster.EntryOwnerSet, cluster.EntryMoveBegun, cluster.EntryMoveCancelled:
			owned, _ := state.Get(e.Unit)
			sessions[owned.Owner], sessions[owned.MovingTo], sessions[e.Session] = true, true, true
		}
	}
	var addresses []string
	for session := range sessions {
		if address := state.Members[session].Address; address != "" && len(addresses) < maxNotified {
			addresses = append(addresses, address)
		}
	}
	return addresses
}
