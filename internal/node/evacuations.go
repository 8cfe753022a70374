package node

import (
	"maps"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/evacuation"
	"github.com/basilway/basilway/membership"
	"github.com/basilway/basilway/metastore"
)

// evacuationState is what a viewStore knows of evacuated availability zones besides what its View
// shows.
type evacuationState struct {
	policy evacuation.Policy
	// prefix is that of the keys of the operator's rows; empty without evacuations.
	prefix string
	now    func() time.Time
	set    evacuation.Set
	// seen is set once any row was seen. Others may know it and have missed its removal.
	seen bool
	// readAt is when this node last knew all rows from the store.
	readAt time.Time
	// invalid are the rows that cannot be understood, to log each once.
	invalid map[string]bool
}

func newEvacuationState() evacuationState {
	return evacuationState{now: time.Now, invalid: map[string]bool{}}
}

// enabled reports whether the deployment has evacuations.
func (e *evacuationState) enabled() bool { return e.policy.Enabled() && e.prefix != "" }

// isRow reports whether a row of the store is one that an operator evacuates a zone with.
func (e *evacuationState) isRow(key string) bool {
	return e.enabled() && strings.HasPrefix(key, e.prefix)
}

// zoneOf returns the zone that a row evacuates.
func (e *evacuationState) zoneOf(row metastore.Row, log *zap.Logger) (zone string, ok bool) {
	zone = strings.TrimPrefix(row.Key, e.prefix)
	if zone != "" && !strings.Contains(zone, "/") {
		return zone, true
	}
	if !e.invalid[row.Key] && !row.Deleted {
		e.invalid[row.Key] = true
		log.Warn("row of an evacuation cannot be understood and changes nothing", zap.String("row", row.Key), zap.Uint64("version", row.Version))
	}
	return "", false
}

// age bounds how long ago a row was written that a read of all rows shows which began at started,
// given that the row was new to this node.
func (e *evacuationState) age(started time.Time) time.Duration {
	if e.readAt.IsZero() {
		return e.policy.Bound
	}
	return max(started.Sub(e.readAt), 0)
}

// mergeEvacuations applies what a row, a read of the store or another node tells to v. since
// returns when a zone was evacuated that this node did not know to be. It returns the zones that
// changed, as rows. s.mu must be held.
func (s *viewStore) mergeEvacuations(v *View, evidence evacuation.Set, since func(zone string) time.Time) []metastore.Row {
	s.evacuations.set = s.evacuations.set.Merge(evidence)
	s.evacuations.seen = s.evacuations.seen || !evidence.IsEmpty()
	before := v.Evacuated
	v.Evacuated = before.Update(s.evacuations.set, s.settled == nil || s.settled(), since)
	v.EvacuationsKnown = s.evacuations.set.Known()
	var out []metastore.Row
	for zone, z := range v.Evacuated {
		if before[zone].Version != z.Version {
			out = append(out, metastore.Row{Key: s.evacuations.prefix + zone, Version: z.Version})
		}
	}
	for zone := range before {
		if !v.Evacuated.Leaving(zone) {
			out = append(out, metastore.Row{Key: s.evacuations.prefix + zone, Version: s.evacuations.set.AsOf(zone), Deleted: true})
		}
	}
	return out
}

// mergeEvacuationRow applies a row that was written or removed a moment ago. s.mu must be held.
func (s *viewStore) mergeEvacuationRow(v *View, row metastore.Row) []metastore.Row {
	zone, ok := s.evacuations.zoneOf(row, s.log)
	if !ok {
		return nil
	}
	now := s.evacuations.now()
	return s.mergeEvacuations(v, evacuation.Row(zone, row.Version, row.Deleted), func(string) time.Time { return now })
}

// observeListing applies a listing of all rows of the operators' table, whose read began at
// started by Node.now.
func (s *viewStore) observeListing(listing metastore.Listing, started time.Time) {
	s.updateEvacuations(membership.FromStore, func(v *View) []metastore.Row {
		s.enter(metastore.Generation(listing.Version))
		versions := map[string]uint64{}
		for _, row := range listing.Rows {
			if !s.evacuations.isRow(row.Key) {
				continue
			}
			if zone, ok := s.evacuations.zoneOf(row, s.log); ok {
				versions[zone] = row.Version
			}
		}
		since := s.evacuations.now().Add(-s.evacuations.age(started))
		s.evacuations.readAt = started
		return s.mergeEvacuations(v, evacuation.Listed(listing.Version, versions), func(string) time.Time { return since })
	})
}

// observeWatch records that a watch has brought all rows of the operators' table up to a version.
func (s *viewStore) observeWatch(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.evacuations.enabled() {
		s.evacuations.set, s.evacuations.readAt = s.evacuations.set.ReadThrough(version), s.evacuations.now()
	}
}

// dropLostEvacuations ends the evacuations whose rows the store lost and that nobody wrote again.
func (s *viewStore) dropLostEvacuations() {
	s.updateEvacuations(membership.FromStore, func(v *View) []metastore.Row {
		now := s.evacuations.now()
		return s.mergeEvacuations(v, evacuation.Set{}, func(string) time.Time { return now })
	})
}

// updateEvacuations changes what is known of evacuations, and shows and passes on what is new.
func (s *viewStore) updateEvacuations(source membership.Source, update func(v *View) []metastore.Row) {
	if !s.evacuations.enabled() {
		return
	}
	s.mu.Lock()
	next := s.view.clone()
	rows := update(next)
	if next.EvacuationsKnown != s.view.EvacuationsKnown || !maps.Equal(next.Evacuated, s.view.Evacuated) {
		s.publish(next)
	}
	s.mu.Unlock()
	if len(rows) == 0 {
		return
	}
	var fresh []freshRow
	for _, row := range rows {
		fresh = append(fresh, freshRow{Row: row})
	}
	if s.onNewRows != nil {
		s.onNewRows(fresh, source)
	}
	if s.onEvacuation != nil {
		s.onEvacuation()
	}
}
