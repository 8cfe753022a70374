package daemon

import (
	"context"

	"go.uber.org/zap"

	"github.com/basilway/basilway/feed"
	"github.com/basilway/basilway/internal/wire"
)

// exchange compares versions with a peer, fetches what this daemon lacks and sends what
// the peer lacks.
func (r *replicas) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	versions, err := r.versions(ctx)
	if err != nil {
		return
	}
	reply, err := call[wire.DigestReply](ctx, r.peers, address, wire.KindDigest, wire.Digest{Versions: versions})
	if err != nil {
		r.log.Debug("version comparison failed", zap.String("peer", address), zap.Error(err))
		return
	}
	for topic, records := range reply.Records {
		r.applyAsync(ctx, topic, records, address)
	}
	for _, topic := range reply.NeedSnapshot {
		r.fetchSnapshot(ctx, address, topic)
	}
	for topic, theirs := range reply.Versions {
		if versions[topic] > theirs {
			r.sendMissing(ctx, address, topic, theirs)
		}
	}
}

func (r *replicas) fetchSnapshot(ctx context.Context, address, topic string) {
	snapshot, err := call[feed.Snapshot](ctx, r.peers, address, wire.KindSnapshot, wire.SnapshotRequest{Topic: topic})
	if err != nil {
		r.log.Warn("snapshot from peer failed", zap.String("peer", address), zap.Error(err))
		return
	}
	r.restore(ctx, topic, snapshot)
}

func (r *replicas) sendMissing(ctx context.Context, address, topic string, after uint64) {
	var records []feed.Record
	if r.mailbox.do(ctx, func() { records, _ = r.feeds[topic].Since(after, pushBatch) }) != nil || len(records) == 0 {
		return
	}
	body, err := wire.Encode(wire.Push{Topic: topic, Records: records, From: r.address})
	if err != nil {
		r.log.Error("encode push", zap.Error(err))
		return
	}
	_ = r.peers.Notify(ctx, address, uint8(wire.KindPush), body)
}

// handleDigest answers a peer's comparison of versions.
func (r *replicas) handleDigest(ctx context.Context, digest wire.Digest) (wire.DigestReply, error) {
	reply := wire.DigestReply{Versions: map[string]uint64{}, Records: map[string][]feed.Record{}}
	err := r.mailbox.do(ctx, func() {
		for topic, replica := range r.feeds {
			reply.Versions[topic] = replica.Version()
			records, kept := replica.Since(digest.Versions[topic], pushBatch)
			if !kept {
				reply.NeedSnapshot = append(reply.NeedSnapshot, topic)
			} else if len(records) > 0 {
				reply.Records[topic] = records
			}
		}
	})
	if err != nil {
		return wire.DigestReply{}, err
	}
	return reply, nil
}

// handleSnapshot answers a peer's request for a snapshot.
func (r *replicas) handleSnapshot(ctx context.Context, request wire.SnapshotRequest) (feed.Snapshot, error) {
	var snapshot feed.Snapshot
	var snapshotErr error
	err := r.mailbox.do(ctx, func() {
		if replica := r.feeds[request.Topic]; replica != nil {
			snapshot, snapshotErr = replica.Snapshot()
		}
	})
	if err != nil {
		return feed.Snapshot{}, err
	}
	return snapshot, snapshotErr
}
