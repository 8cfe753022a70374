package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/feed"
	"github.com/basilway/basilway/internal/wire"
)

const (
	// archiveInterval is how often the planner looks whether a snapshot is due.
	archiveInterval = 10 * time.Second
	// archiveEvery is the number of versions between two snapshots of a feed.
	archiveEvery = 256
	// archiveKeep is the number of versions before a snapshot whose log rows stay.
	archiveKeep = recentRecords
)

// archive writes snapshots of the feeds to the object store while this daemon is the
// planner, and deletes log rows that are older than they need to be.
func (d *Daemon) archive() {
	ticker := time.NewTicker(archiveInterval)
	defer ticker.Stop()
	stored := map[string]uint64{}
	for {
		select {
		case <-d.life.Done():
			return
		case <-ticker.C:
		}
		if d.replicas.cluster().Planner != d.current.Load().session {
			continue
		}
		for _, topic := range []string{feed.TopicCluster, feed.TopicCatalogue} {
			if err := d.archiveTopic(topic, stored); err != nil {
				d.log.Warn("feed not archived", zap.String("topic", topic), zap.Error(err))
			}
		}
	}
}

func (d *Daemon) archiveTopic(topic string, stored map[string]uint64) error {
	ctx, cancel := context.WithTimeout(d.life, storeReadTimeout)
	defer cancel()
	if _, known := stored[topic]; !known {
		latest, err := d.replicas.loader.LatestSnapshot(ctx, topic)
		if err != nil {
			return err
		}
		stored[topic] = latest.Version
	}
	snapshot, err := d.replicas.handleSnapshot(ctx, wire.SnapshotRequest{Topic: topic})
	if err != nil || snapshot.Version < stored[topic]+archiveEvery {
		return err
	}
	if err := d.replicas.loader.Archive(ctx, topic, snapshot, archiveKeep); err != nil {
		return err
	}
	stored[topic] = snapshot.Version
	return nil
}
