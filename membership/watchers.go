package membership

import "github.com/cespare/xxhash/v2"

// IsWatcher reports whether self is one of the count members that read something from the store for
// all. All members that know the same others agree on them; if they don't, a few more watch.
func IsWatcher(self string, others []string, count int) bool {
	own, rank := xxhash.Sum64String(self), 0
	for _, other := range others {
		if h := xxhash.Sum64String(other); h < own || h == own && other < self {
			rank++
		}
	}
	return rank < count
}
