package catalogue

import (
	"cmp"
	"maps"
	"slices"
)

// HistoryLimit is the number of changes that a State keeps: 3 hours at 7,700 changes a
// day, in about 150 KB. Older changes are dropped.
const HistoryLimit = 1024

// State is the catalogue at one version. It is not safe for concurrent use; give concurrent
// readers a Clone.
type State struct {
	version uint64
	entries map[string]Entry
	// history is ordered by version and holds at most HistoryLimit records.
	history   []Record
	mutations mutations
}

// mutations switches off single rules. Tests set them to show that they detect the
// missing rule.
type mutations struct {
	acceptAnyVersion bool
	ignoreExpected   bool
}

// NewState returns the empty catalogue at version 0.
func NewState() *State { return &State{entries: map[string]Entry{}} }

// Version returns the version of the last applied change.
func (s *State) Version() uint64 { return s.version }

// Apply applies change and sets the catalogue to version, which must be the next one.
// Otherwise it returns an *OrderError and changes nothing. It does not validate the entry:
// editors call Check before they commit, and a committed change must not stop the feed.
func (s *State) Apply(version uint64, change Change) error {
	if version != s.version+1 && !s.mutations.acceptAnyVersion {
		return &OrderError{Have: s.version, Got: version}
	}
	change.Entry.Version = version
	if change.Deleted {
		delete(s.entries, change.Entry.Service)
	} else {
		s.entries[change.Entry.Service] = change.Entry
	}
	s.version = version
	if len(s.history) >= HistoryLimit {
		s.history = slices.Delete(s.history, 0, len(s.history)-HistoryLimit+1)
	}
	s.history = append(s.history, Record{Version: version, Change: change})
	return nil
}

// Check returns nil if change may be committed as the next version. expected is the
// version of the entry that the editor last read, 0 to create the entry. The error is a
// *ConflictError or a *ValidationError. A conflict takes precedence because an edit of an
// outdated entry has to be made again in any case.
func (s *State) Check(change Change, expected uint64) error {
	current := s.entries[change.Entry.Service]
	deletesMissing := change.Deleted && current.Version == 0
	if (current.Version != expected || deletesMissing) && !s.mutations.ignoreExpected {
		return &ConflictError{Service: change.Entry.Service, Expected: expected, Current: current}
	}
	if change.Deleted {
		return nil
	}
	return change.Entry.Validate()
}

// Get returns the entry of service.
func (s *State) Get(service string) (Entry, bool) {
	e, ok := s.entries[service]
	return e, ok
}

// All returns all entries ordered by service.
func (s *State) All() []Entry {
	return slices.SortedFunc(maps.Values(s.entries), func(x, y Entry) int {
		return cmp.Compare(x.Service, y.Service)
	})
}

// History returns the kept changes of service, newest first, or those of all services if
// service is empty. It returns at most limit changes; a limit of 0 returns all.
func (s *State) History(service string, limit int) []Record {
	var out []Record
	for _, r := range slices.Backward(s.history) {
		if limit > 0 && len(out) == limit {
			break
		}
		if service == "" || r.Change.Entry.Service == service {
			out = append(out, r)
		}
	}
	return out
}

// Clone returns a copy that shares nothing with s.
func (s *State) Clone() *State {
	return &State{version: s.version, entries: maps.Clone(s.entries), history: slices.Clone(s.history)}
}
