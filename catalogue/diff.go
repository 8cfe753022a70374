package catalogue

import (
	"cmp"
	"slices"
)

// Difference is an entry that differs between two sets of entries. Old is nil if the entry
// was added, New is nil if it was removed.
type Difference struct {
	Service  string
	Old, New *Entry
}

// Diff returns the differences between the entries of from and to, ordered by service. It
// ignores versions: an edit that sets the same values makes no difference.
func Diff(from, to []Entry) []Difference {
	old := make(map[string]*Entry, len(from))
	for i := range from {
		old[from[i].Service] = &from[i]
	}
	var out []Difference
	for i := range to {
		e := &to[i]
		before := old[e.Service]
		delete(old, e.Service)
		if before == nil || !equalIgnoringVersion(*before, *e) {
			out = append(out, Difference{Service: e.Service, Old: before, New: e})
		}
	}
	for service, e := range old {
		out = append(out, Difference{Service: service, Old: e})
	}
	slices.SortFunc(out, func(a, b Difference) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

func equalIgnoringVersion(a, b Entry) bool {
	a.Version, b.Version = 0, 0
	return a == b
}
