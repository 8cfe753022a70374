package node

import (
	"slices"
	"strings"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/basilway/basilway/keyrange"
	"github.com/basilway/basilway/membership"
	"github.com/basilway/basilway/metastore"
	"github.com/basilway/basilway/quarantine"
)

// viewStore holds the node's View. Rows may arrive in any order; an older version of a row
// never replaces a newer one.
type viewStore struct {
	protocol Protocol
	decoder  desiredStateDecoder
	log      *zap.Logger

	// onNewRows, if not nil, is called with rows that were new and how they came. It must not
	// block.
	onNewRows func(rows []freshRow, source membership.Source)

	// onDesiredState, if not nil, is called when a desired state is applied, with its version and
	// whether it came from another node. It must not block or call the viewStore.
	onDesiredState func(version uint64, forwarded bool)

	// beginDecode, if not nil, is called when a new desired state is to be decoded; end once it has been applied.
	// Neither may block or call the viewStore.
	beginDecode func() (end func())

	// onEvacuation, if not nil, is called when the evacuated availability zones change. It must not
	// block or call the viewStore.
	onEvacuation func()

	// onGeneration, if not nil, is called with the view before rows of a later generation of
	// the store are applied. It must not block or call the viewStore.
	onGeneration func(generation uint64, before *View)

	// settled, if not nil, reports whether nothing that the store lost can be in force.
	settled func() bool

	mu         sync.Mutex
	view       *View
	rows       map[string]metastore.Row // the newest of each key, including deleted rows
	generation uint64
	// entered is closed when the next generation of the store is seen.
	entered chan struct{}
	// remembered are the key tables of earlier generations that may have been lost, by key of
	// their rows.
	remembered map[string]rememberedTable
	// evacuations are the evacuated availability zones; its settings are not changed once in use.
	evacuations evacuationState
	changed     chan struct{} // closed at the next change
}

func newViewStore(protocol Protocol, log *zap.Logger) *viewStore {
	return &viewStore{
		protocol: protocol, decoder: desiredStateDecoder{protocol: protocol}, log: log, rows: map[string]metastore.Row{}, remembered: map[string]rememberedTable{},
		changed: make(chan struct{}), entered: make(chan struct{}), evacuations: newEvacuationState(),
		view: &View{Members: map[string]Member{}, Keys: map[string]KeySpace{}},
	}
}

// get returns the view and a channel that is closed when there is a newer view.
func (s *viewStore) get() (*View, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view, s.changed
}

func (s *viewStore) current() *View {
	v, _ := s.get()
	return v
}

// freshRow is a row that was new to this node.
type freshRow struct {
	metastore.Row
	// affected are the instances whose keys the row changes.
	affected []string
}

// apply merges rows that were read from the store or written by this node. It reports whether any
// was new.
func (s *viewStore) apply(rows ...metastore.Row) bool {
	return s.mergeAndNotify(rows, membership.FromStore)
}

// applyFromPeer merges rows of another node.
func (s *viewStore) applyFromPeer(source membership.Source, rows ...metastore.Row) {
	s.mergeAndNotify(rows, source)
}

func (s *viewStore) mergeAndNotify(rows []metastore.Row, source membership.Source) (changed bool) {
	fresh := s.merge(rows, source != membership.FromStore)
	if len(fresh) > 0 && s.onNewRows != nil {
		s.onNewRows(fresh, source)
	}
	evacuation := func(row freshRow) bool { return s.evacuations.isRow(row.Key) }
	if s.onEvacuation != nil && slices.ContainsFunc(fresh, evacuation) {
		s.onEvacuation()
	}
	return len(fresh) > 0
}

// merge applies the rows that are newer than the known ones, and returns them. forwarded is set
// if they came from another node.
func (s *viewStore) merge(rows []metastore.Row, forwarded bool) []freshRow {
	decoded, end := s.decodeDesiredStates(rows)
	defer end()
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.view.clone()
	var fresh []freshRow
	for _, row := range rows {
		s.enter(metastore.Generation(row.Version))
	}
	for i, row := range rows {
		if row.Key == s.protocol.DesiredStateRow() {
			if s.mergeDesiredState(next, row, decoded[i], forwarded) {
				fresh = append(fresh, freshRow{Row: row})
			}
			continue
		}
		if s.evacuations.isRow(row.Key) {
			for _, changed := range s.mergeEvacuationRow(next, row) {
				fresh = append(fresh, freshRow{Row: changed})
			}
			continue
		}
		known := s.rows[row.Key].Version
		if row.Version <= known {
			continue
		}
		s.rows[row.Key] = row
		if err := s.applyRow(next, row, known); err != nil {
			s.log.Error("row of the store cannot be decoded; its previous version stays in effect",
				zap.String("row", row.Key), zap.Uint64("version", row.Version), zap.Error(err))
		}
		fresh = append(fresh, freshRow{row, affectedInstances(row, s.view, next)})
	}
	if len(fresh) > 0 {
		s.publish(next)
	}
	return fresh
}

// affectedInstances returns the instances whose keys differ between before and next because
// of row.
func affectedInstances(row metastore.Row, before, next *View) []string {
	service, bucket, err := parseBucketKey(row.Key)
	if err != nil {
		return nil // not a row of a key table
	}
	var earlier *keyrange.Table
	if space, ok := before.Keys[service]; ok {
		earlier = space.Table(bucket)
	}
	space, ok := next.Keys[service]
	if !ok {
		return nil
	}
	var out []string
	for _, owner := range space.Table(bucket).ChangedOwners(earlier) {
		out = append(out, owner.Instance)
	}
	return out
}

// replace applies a listing of a whole table; rows that are missing in it were deleted.
func (s *viewStore) replace(table string, listing metastore.Listing) {
	present := map[string]bool{}
	for _, row := range listing.Rows {
		present[row.Key] = true
	}
	s.mu.Lock()
	var gone []metastore.Row
	for key, row := range s.rows {
		if tableOf(key) == table && !present[key] && !row.Deleted {
			gone = append(gone, metastore.Row{Key: key, Version: listing.Version, Deleted: true})
		}
	}
	s.mu.Unlock()
	s.apply(append(listing.Rows, gone...)...)
	if table == clusterTable {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.view.Listed {
			next := s.view.clone()
			next.Listed = true
			s.publish(next)
		}
	}
}

func (s *viewStore) publish(next *View) {
	s.view = next
	close(s.changed)
	s.changed = make(chan struct{})
}

// applyRow applies a row to v. known is the version of the row that v shows.
func (s *viewStore) applyRow(v *View, row metastore.Row, known uint64) error {
	switch {
	case row.Key == plannerKey:
		var p PlannerRow
		if !row.Deleted {
			p.Version = row.Version
			if err := cbor.Unmarshal(row.Value, &p); err != nil {
				v.Planner = PlannerRow{Version: row.Version} // nobody has the role
				return err
			}
		}
		v.Planner = p
	case strings.HasPrefix(row.Key, memberPrefix):
		return applyMember(v, row, known)
	case strings.HasPrefix(row.Key, keysPrefix):
		return s.applyKeys(v, row, known)
	case strings.HasPrefix(row.Key, strikePrefix) && !row.Deleted:
		var r quarantine.Record
		if err := cbor.Unmarshal(row.Value, &r); err != nil {
			return err
		}
		v.strikes = append(v.strikes[:len(v.strikes):len(v.strikes)], r)
	}
	return nil
}

// applyMember applies a member's row. What a store that went back has lost of it stays in
// effect until the member writes it again.
func applyMember(v *View, row metastore.Row, known uint64) error {
	instance := strings.TrimPrefix(row.Key, memberPrefix)
	delete(v.unreadableMembers, instance)
	wentBack := metastore.Generation(row.Version) > metastore.Generation(known)
	have, shown := v.Members[instance]
	if row.Deleted {
		if shown && wentBack {
			have.version = 0
			v.Members[instance] = have
			return nil
		}
		delete(v.Members, instance)
		return nil
	}
	m, err := decodeMember(instance, row.Value, row.Version)
	if err != nil {
		if v.unreadableMembers == nil {
			v.unreadableMembers = map[string]uint64{}
		}
		v.unreadableMembers[instance] = row.Version
		return err
	}
	writtenBefore := m.Generation < metastore.Generation(row.Version)
	if shown && wentBack && writtenBefore && metastore.Sequence(row.Version) < metastore.Sequence(known) {
		have.version = row.Version
		m = have
	}
	v.Members[instance] = m
	return nil
}

func (s *viewStore) applyKeys(v *View, row metastore.Row, known uint64) error {
	service, bucket, err := parseBucketKey(row.Key)
	if err != nil {
		return err
	}
	space, ok := v.Keys[service]
	if !ok {
		space = KeySpace{Space: keyrange.NewSpace()}
	}
	table := keyrange.New(keyrange.BucketSpan(bucket))
	if !row.Deleted {
		if table, err = keyrange.Decode(row.Value, keyrange.BucketSpan(bucket)); err != nil {
			if space.Versions[bucket] > 0 { // else nobody here knows who holds the keys
				space.Versions[bucket], space.unreadable[bucket] = row.Version, true
				v.Keys[service] = space
			}
			return err
		}
	}
	space.unreadable[bucket] = false
	if metastore.Generation(row.Version) > metastore.Generation(known) && known > 0 {
		s.remember(row.Key, space.Table(bucket), space.Contents[bucket])
	}
	content := contentOf(table, row)
	if m, ok := s.remembered[row.Key]; ok {
		table, content = s.restore(row, table, content, m)
	}
	space.Space = space.With(bucket, table)
	space.Versions[bucket], space.Contents[bucket] = row.Version, content
	if row.Deleted {
		space.Versions[bucket] = 0
	}
	v.Keys[service] = space
	return nil
}
