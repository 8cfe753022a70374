package feed

import "fmt"

// Applier is the state to which a Replica applies records.
type Applier interface {
	// ApplyRecord advances the state to version. It is called once per version, in
	// order; versions covered by a restored snapshot are skipped.
	ApplyRecord(version uint64, body []byte) error
	// RestoreSnapshot replaces the state with a later one.
	RestoreSnapshot(s Snapshot) error
	// TakeSnapshot returns a snapshot of the current state.
	TakeSnapshot() (Snapshot, error)
}

// Replica is a reader's copy of a feed. Besides its state it holds the current version and
// the most recent records, which other readers can fetch with Since. It is not safe for
// concurrent use.
type Replica struct {
	topic   string
	state   Applier
	version uint64
	keep    int
	recent  []Record
}

// NewReplica returns a Replica at version 0 that keeps at least the last keep records and
// at most twice as many.
func NewReplica(topic string, keep int, state Applier) *Replica {
	return &Replica{topic: topic, keep: keep, state: state}
}

// Topic returns the feed's topic.
func (r *Replica) Topic() string { return r.topic }

// Version returns the current version.
func (r *Replica) Version() uint64 { return r.version }

// Apply applies the records that follow the current version and returns those it applied.
// Records that were already applied, or that would leave a gap, are ignored. An error
// means that a record could not be applied; the version stays at the record before it.
func (r *Replica) Apply(records []Record) ([]Record, error) {
	var applied []Record
	for _, rec := range records {
		if rec.Version != r.version+1 {
			continue
		}
		if err := r.state.ApplyRecord(rec.Version, rec.Body); err != nil {
			return applied, fmt.Errorf("feed %s version %d: %w", r.topic, rec.Version, err)
		}
		r.version = rec.Version
		r.keepRecent(rec)
		applied = append(applied, rec)
	}
	return applied, nil
}

// Restore replaces the state with snapshot s if s is later than the current version. The
// recent records are then dropped.
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

// Since returns at most limit records that follow version. It reports false if they are
// no longer kept; the reader then needs a snapshot.
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

// Snapshot returns a snapshot of the state at the current version.
func (r *Replica) Snapshot() (Snapshot, error) { return r.state.TakeSnapshot() }

func (r *Replica) keepRecent(rec Record) {
	r.recent = append(r.recent, rec)
	if len(r.recent) > 2*r.keep {
		r.recent = append([]Record(nil), r.recent[len(r.recent)-r.keep:]...)
	}
}
