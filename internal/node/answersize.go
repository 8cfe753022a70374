package node

import (
	"sync"

	"github.com/basilway/basilway/httproute"
)

const (
	// initialDownload is the expected size in bytes of a download of a route without
	// answers yet.
	initialDownload = 64 << 10
	// sizeWeight is the weight of one answer in the mean size.
	sizeWeight = 0.1
)

// answerSizes keeps the mean size of each route's answers of the backend server.
type answerSizes struct {
	mu     sync.Mutex
	routes map[string]float64
}

// expected returns the size in bytes to expect of an answer.
func (s *answerSizes) expected(route string, kind httproute.Kind) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if size, ok := s.routes[route]; ok {
		return int64(size)
	}
	if kind == httproute.Download {
		return initialDownload
	}
	return 0
}

// note takes the size of an answer.
func (s *answerSizes) note(route string, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.routes[route]
	if !ok {
		old = float64(bytes)
	}
	s.routes[route] = old + sizeWeight*(float64(bytes)-old)
}
