package node

import "sync"

// callCounts counts calls by name. It is safe for concurrent use.
type callCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func (m *callCounts) add(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.counts == nil {
		m.counts = map[string]int{}
	}
	m.counts[name]++
}

func (m *callCounts) of(name string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts[name]
}
