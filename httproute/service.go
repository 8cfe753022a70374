package httproute

import "time"

// Service is a set of backend servers that run the same requests.
type Service struct {
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConnections is the number of connections a backend server accepts from all
	// callers; 0 is no bound.
	MaxConnections int
	// Sharded services run a request only on the owner of its key.
	Sharded bool
	// WarmUp is how long keys are slow on an owner that got them without a hand-over.
	WarmUp time.Duration
}
