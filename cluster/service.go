package cluster

import (
	"cmp"
	"slices"
	"sort"
)

// Service is the assignment of one service's hash space: ranges ordered by start, the first
// of them starting at 0, and hot keys ordered by hash.
type Service struct {
	Ranges  []Range  `cbor:"1,keyasint"`
	HotKeys []HotKey `cbor:"2,keyasint,omitempty"`
}

func (s *Service) clone() *Service {
	return &Service{Ranges: slices.Clone(s.Ranges), HotKeys: slices.Clone(s.HotKeys)}
}

// rangeIndex returns the index of the range that contains hash, or -1 if there is none.
func (s *Service) rangeIndex(hash uint64) int {
	return sort.Search(len(s.Ranges), func(i int) bool { return s.Ranges[i].Start > hash }) - 1
}

// findRange returns the index of the range that starts at start and whether it exists.
func (s *Service) findRange(start uint64) (int, bool) {
	return slices.BinarySearchFunc(s.Ranges, start, func(r Range, t uint64) int {
		return cmp.Compare(r.Start, t)
	})
}

// findHotKey returns the index of the hot key, or where to insert it, and whether it exists.
func (s *Service) findHotKey(hash uint64) (int, bool) {
	return slices.BinarySearchFunc(s.HotKeys, hash, func(h HotKey, t uint64) int {
		return cmp.Compare(h.Hash, t)
	})
}

// Width returns the fraction of the hash space, 0 to 1, that range i covers.
func (s *Service) Width(i int) float64 {
	const hashSpace = float64(1<<63) * 2
	end := hashSpace
	if i+1 < len(s.Ranges) {
		end = float64(s.Ranges[i+1].Start)
	}
	return (end - float64(s.Ranges[i].Start)) / hashSpace
}
