package membership

import "github.com/cespare/xxhash/v2"

// Candidate is a member that may read something from the store for all.
type Candidate struct {
	Instance string
	// Cores is the processor share of the instance in cores; 0 if it is not known.
	Cores float64
}

// IsWatcher reports whether self is one of the count members that read something from the store for
// all: the largest ones, because a change comes to no node before one of them has received and understood
// it. All members that know the same others agree on them; if they don't, a few more watch.
func IsWatcher(self Candidate, others []Candidate, count int) bool {
	rank := 0
	for _, other := range others {
		if other.precedes(self) {
			rank++
		}
	}
	return rank < count
}

// precedes reports whether c is asked to read before another candidate.
func (c Candidate) precedes(other Candidate) bool {
	if c.Cores != other.Cores {
		return c.Cores > other.Cores
	}
	own, theirs := xxhash.Sum64String(c.Instance), xxhash.Sum64String(other.Instance)
	return own < theirs || own == theirs && c.Instance < other.Instance
}
