package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/feed"
	"github.com/basilway/basilway/internal/wire"
)

const (
	// archiveInterval is how often the planner checks whether a snapshot is due.
	archiveInterval = 10 * time.Second
	// versionsPerSnapshot is the number of versions between two snapshots of a feed.
	versionsPerSnapshot = 256
	// keptLogRows is the number of log rows that are kept before a snapshot.
	keptLogRows = recentRecords
)

// archive writes snapshots of the feeds to the object store while this daemon is the
// planner, and deletes log rows that are no longer needed.
func (d *Daemon) archive() {
	ticker := time.NewTicker(archiveInterval)
	defer ticker.Stop()
	lastSnapshots := map[string]uint64{}
	for {
		select {
		case <-d.baseCtx.Done():
			return
		case <-ticker.C:
		}
		if d.replicas.cluster().Planner != d.current.Load().session {
			continue
		}
		for _, topic := range []string{feed.TopicCluster, feed.TopicCatalogue} {
			if err := d.archiveTopic(topic, lastSnapshots); err != nil {
				d.log.Warn("cannot archive the feed", zap.String("topic", topic), zap.Error(err))
			}
		}
	}
}

func (d *Daemon) archiveTopic(topic string, lastSnapshots map[string]uint64) error {
	ctx, cancel := context.WithTimeout(d.baseCtx, storeTimeout)
	defer cancel()
	if _, known := lastSnapshots[topic]; !known {
		latest, err := d.replicas.loader.LatestSnapshot(ctx, topic)
		if err != nil {
			return err
		}
		lastSnapshots[topic] = latest.Version
	}
	snapshot, err := d.replicas.handleSnapshot(ctx, wire.SnapshotRequest{Topic: topic})
	if err != nil || snapshot.Version < lastSnapshots[topic]+versionsPerSnapshot {
		return err
	}
	if err := d.replicas.loader.Archive(ctx, topic, snapshot, keptLogRows); err != nil {
		return err
	}
	lastSnapshots[topic] = snapshot.Version
	return nil
}
