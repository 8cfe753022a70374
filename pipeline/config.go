package pipeline

// Config holds the bounds of one connection.
type Config struct {
	// MaxRunning is the number of requests that run at the same time. A greater value lets one
	// client take more of the backend servers.
	MaxRunning int
	// MaxRequests is the number of requests that were read and whose response has not been
	// written. Beyond it nothing is read, so TCP holds the client back.
	MaxRequests int
	// MaxBytes bounds the bytes of those requests. One request is read even if it is larger.
	MaxBytes int
}

// DefaultConfig returns the bounds that a node uses.
func DefaultConfig() Config {
	return Config{MaxRunning: 16, MaxRequests: 64, MaxBytes: 64 << 10}
}
