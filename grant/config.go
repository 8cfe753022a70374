package grant

import "time"

// Config bounds what a Holder grants.
type Config struct {
	// Hold is the longest hold. A long hold outlasts late heartbeats and restarts of
	// the daemon; a short one frees the keys of a silent backend server sooner.
	Hold time.Duration
	// MinHold is the shortest hold worth granting.
	MinHold time.Duration
	// ClockSkew is by how much slower the backend server's clock may run, as a share.
	ClockSkew float64
}

// DefaultConfig returns the configuration of the daemon. The skew is the platform's bound
// of 2 % with a margin for rounding.
func DefaultConfig() Config {
	return Config{Hold: 4 * time.Second, MinHold: 200 * time.Millisecond, ClockSkew: 0.025}
}
