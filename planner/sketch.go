package planner

import (
	"cmp"
	"slices"
)

// sketch keeps the heaviest keys of a weighted stream in bounded memory. It implements
// the space-saving algorithm (Metwally, Agrawal, El Abbadi, "Efficient Computation of
// Frequent and Top-k Elements in Data Streams", ICDT 2005). A key whose weight is over
// 1/size of the total is always kept.
type sketch struct {
	size    int
	heap    []counter // min-heap by weight
	indexOf map[uint64]int
}

type counter struct {
	hash   uint64
	unit   int
	weight int64
	// overestimate is how much of weight may belong to keys that were replaced.
	overestimate int64
}

func newSketch(size int) *sketch {
	return &sketch{size: size, heap: make([]counter, 0, size), indexOf: make(map[uint64]int, size)}
}

func (s *sketch) add(unit int, hash uint64, weight int64) {
	if i, ok := s.indexOf[hash]; ok {
		s.heap[i].weight += weight
		s.siftDown(i)
		return
	}
	if len(s.heap) < s.size {
		s.heap = append(s.heap, counter{hash: hash, unit: unit, weight: weight})
		s.indexOf[hash] = len(s.heap) - 1
		s.siftUp(len(s.heap) - 1)
		return
	}
	least := s.heap[0]
	delete(s.indexOf, least.hash)
	s.heap[0] = counter{hash: hash, unit: unit, weight: least.weight + weight, overestimate: least.weight}
	s.indexOf[hash] = 0
	s.siftDown(0)
}

// top returns up to n counters whose guaranteed weight, without the overestimate, is at
// least minWeight, heaviest first.
func (s *sketch) top(n int, minWeight int64) []counter {
	var out []counter
	for _, c := range s.heap {
		if c.weight-c.overestimate >= minWeight {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b counter) int {
		return cmp.Or(cmp.Compare(b.weight-b.overestimate, a.weight-a.overestimate), cmp.Compare(a.hash, b.hash))
	})
	return out[:min(n, len(out))]
}

func (s *sketch) reset() {
	s.heap = s.heap[:0]
	clear(s.indexOf)
}

func (s *sketch) swap(i, j int) {
	s.heap[i], s.heap[j] = s.heap[j], s.heap[i]
	s.indexOf[s.heap[i].hash], s.indexOf[s.heap[j].hash] = i, j
}

func (s *sketch) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if s.heap[parent].weight <= s.heap[i].weight {
			return
		}
		s.swap(i, parent)
		i = parent
	}
}

func (s *sketch) siftDown(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(s.heap); child++ {
			if s.heap[child].weight < s.heap[least].weight {
				least = child
			}
		}
		if least == i {
			return
		}
		s.swap(i, least)
		i = least
	}
}

// dropUnit removes the counters of unit.
func (s *sketch) dropUnit(unit int) {
	kept := s.heap[:0]
	for _, c := range s.heap {
		if c.unit != unit {
			kept = append(kept, c)
		}
	}
	s.heap = kept
	clear(s.indexOf)
	for i := range s.heap {
		s.indexOf[s.heap[i].hash] = i
	}
	for i := len(s.heap)/2 - 1; i >= 0; i-- {
		s.siftDown(i)
	}
}
