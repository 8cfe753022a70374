package catalogue

import (
	"cmp"
	"slices"
)

// Difference is one entry that differs between two sets. Old is nil for an entry
// that was added, New is nil for one that was removed.
type Difference struct {
	Service  string
	Old, New *Entry
}

// Diff returns what changes from the entries in from to those in to, ordered by
// service. Versions are not compared: an edit that sets equal values is no difference.
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
		if before == nil || !sameContent(*before, *e) {
			out = append(out, Difference{Service: e.Service, Old: before, New: e})
		}
	}
	for service, e := range old {
		out = append(out, Difference{Service: service, Old: e})
	}
	slices.SortFunc(out, func(a, b Difference) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

func sameContent(a, b Entry) bool {
	a.Version, b.Version = 0, 0
	return a == b
}
