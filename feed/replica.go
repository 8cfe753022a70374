package feed

import "fmt"

// Applier is the state that a Replica feeds.
type Applier interface {
	// ApplyRecord moves the state to version; it is called in order, once a version.
	ApplyRecord(version uint64, body []byte) error
	// RestoreSnapshot replaces the state by a later one.
	RestoreSnapshot(s Snapshot) error
	// TakeSnapshot returns the state as a snapshot.
	TakeSnapshot() (Snapshot, error)
}

// Replica is a reader's copy of a feed: the version reached and the most recent
// records, for other readers. It is not safe for concurrent use.
type Replica struct {
	topic   string
	state   Applier
	version uint64
	keep    int
	recent  []Record
}

// NewReplica returns a Replica at version 0 that keeps the last keep records.
func NewReplica(topic string, keep int, state Applier) *Replica {
	return &Replica{topic: topic, keep: keep, state: state}
}

// Topic returns the feed's topic.
func (r *Replica) Topic() string { return r.topic }

// Version returns the version reached.
func (r *Replica) Version() uint64 { return r.version }

// Offer applies those records that follow the version reached and returns them.
// Records that are known or that leave a gap are ignored. An error means that a
// record could not be applied; the version stays before it.
func (r *Replica) Offer(records []Record) ([]Record, error) {
	var applied []Record
	for _, rec := range records {
		if rec.Version != r.version+1 {
			continue
		}
		if err := r.state.ApplyRecord(rec.Version, rec.Body); err != nil {
			return applied, fmt.Errorf("feed %s version %d: %w", r.topic, rec.Version, err)
		}
		r.version = rec.Version
		r.remember(rec)
		applied = append(applied, rec)
	}
	return applied, nil
}

// Restore moves to a snapshot if it is later than the version reached.
func (r *Replica) Restore(s Snapshot) error {
	if s.Version <= r.version {
		return nil
	}
	if err := r.state.RestoreSnapshot(s); err != nil {
		return fmt.Errorf("feed %s snapshot %d: %w", r.topic, s.Version, err)
	}
	r.version = s.Version
	r.recent = nil
	return nil
}

// Since returns at most limit records after version. It reports false if they are
// no longer kept, in which case a snapshot is needed.
func (r *Replica) Since(version uint64, limit int) ([]Record, bool) {
	if version >= r.version {
		return nil, true
	}
	missing := r.version - version
	if missing > uint64(len(r.recent)) {
		return nil, false
	}
	records := r.recent[uint64(len(r.recent))-missing:]
	return append([]Record(nil), records[:min(len(records), limit)]...), true
}

// Snapshot returns the state at the version reached.
func (r *Replica) Snapshot() (Snapshot, error) { return r.state.TakeSnapshot() }

func (r *Replica) remember(rec Record) {
	r.recent = append(r.recent, rec)
	if len(r.recent) > 2*r.keep {
		r.recent = append([]Record(nil), r.recent[len(r.recent)-r.keep:]...)
	}
}
