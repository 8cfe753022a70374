package httproute

import "time"

// Service is a group of backend servers that run the same requests.
type Service struct {
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConnections is the number of connections that a backend server accepts from all
	// callers; 0 means no limit.
	MaxConnections int
	// Sharded is set if a request runs only on the owner of its key.
	Sharded bool
	// WarmUp is how long keys are slow on an owner that got them without a handover.
	WarmUp time.Duration
	// ColdStart is how long a backend server is cold after its start.
	ColdStart time.Duration
	// ColdPerSecond is the number of requests per second that a cold backend server tolerates; 0
	// means no limit.
	ColdPerSecond float64
}
