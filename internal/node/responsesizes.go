package node

import (
	"sync"

	"github.com/basilway/basilway/httproute"
)

const (
	// initialDownloadSize is the expected size in bytes of a download on a route without
	// responses yet.
	initialDownloadSize = 64 << 10
	// sizeWeight is the weight of one response in the moving average of sizes.
	sizeWeight = 0.1
)

// responseSizes keeps the mean response size of each route on the local backend server.
type responseSizes struct {
	mu     sync.Mutex
	routes map[string]float64
}

// expected returns the expected response size in bytes; 0 if it is unknown.
func (s *responseSizes) expected(route string, kind httproute.Kind) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if size, ok := s.routes[route]; ok {
		return int64(size)
	}
	if kind == httproute.Download {
		return initialDownloadSize
	}
	return 0
}

// observe adds a response size to the route's moving average.
func (s *responseSizes) observe(route string, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.routes[route]
	if !ok {
		old = float64(bytes)
	}
	s.routes[route] = old + sizeWeight*(float64(bytes)-old)
}
