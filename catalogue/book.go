package catalogue

import (
	"cmp"
	"maps"
	"slices"
)

// HistoryLimit is the number of changes that a Book keeps: 3 hours at 7,700 changes a
// day, in about 150 KB. Older changes are dropped.
const HistoryLimit = 1024

// Book is the catalogue at one version. It is not safe for concurrent use; give concurrent
// readers a Clone.
type Book struct {
	version uint64
	entries map[string]Entry
	// history is ordered by version and holds at most HistoryLimit records.
	history   []Record
	mutations mutations
}

// mutations switches off single rules so that a test can show that the checks detect it.
type mutations struct {
	acceptAnyVersion bool
	ignoreExpected   bool
}

// NewBook returns the empty catalogue at version 0.
func NewBook() *Book { return &Book{entries: map[string]Entry{}} }

// Version returns the version of the last applied change.
func (b *Book) Version() uint64 { return b.version }

// Apply applies change and sets the catalogue to version, which must be the next one.
// Otherwise it returns an *OrderError and changes nothing. It does not validate the entry:
// editors call Check before they commit, and a committed change must not stop the feed.
func (b *Book) Apply(version uint64, change Change) error {
	if version != b.version+1 && !b.mutations.acceptAnyVersion {
		return &OrderError{Have: b.version, Got: version}
	}
	change.Entry.Version = version
	if change.Deleted {
		delete(b.entries, change.Entry.Service)
	} else {
		b.entries[change.Entry.Service] = change.Entry
	}
	b.version = version
	if len(b.history) >= HistoryLimit {
		b.history = slices.Delete(b.history, 0, len(b.history)-HistoryLimit+1)
	}
	b.history = append(b.history, Record{Version: version, Change: change})
	return nil
}

// Check returns nil if change may be committed as the next version. expected is the
// version of the entry that the editor last read, 0 to create the entry. The error is a
// *ConflictError or a *ValidationError. A conflict takes precedence because an edit of an
// outdated entry has to be made again in any case.
func (b *Book) Check(change Change, expected uint64) error {
	current := b.entries[change.Entry.Service]
	deletesMissing := change.Deleted && current.Version == 0
	if (current.Version != expected || deletesMissing) && !b.mutations.ignoreExpected {
		return &ConflictError{Service: change.Entry.Service, Expected: expected, Current: current}
	}
	if change.Deleted {
		return nil
	}
	return change.Entry.Validate()
}

// Get returns the entry of service.
func (b *Book) Get(service string) (Entry, bool) {
	e, ok := b.entries[service]
	return e, ok
}

// All returns all entries ordered by service.
func (b *Book) All() []Entry {
	return slices.SortedFunc(maps.Values(b.entries), func(x, y Entry) int {
		return cmp.Compare(x.Service, y.Service)
	})
}

// History returns the kept changes of service, newest first, or those of all services if
// service is empty. It returns at most limit changes; a limit of 0 returns all.
func (b *Book) History(service string, limit int) []Record {
	var out []Record
	for _, r := range slices.Backward(b.history) {
		if limit > 0 && len(out) == limit {
			break
		}
		if service == "" || r.Change.Entry.Service == service {
			out = append(out, r)
		}
	}
	return out
}

// Clone returns a copy that shares nothing with b.
func (b *Book) Clone() *Book {
	return &Book{version: b.version, entries: maps.Clone(b.entries), history: slices.Clone(b.history)}
}
