// Package loadgen sends requests to daemons or straight to a backend server and
// measures what callers see.
package loadgen

import (
	"fmt"
	"time"
)

// Config describes one run.
type Config struct {
	// URLs are base URLs of daemons, used in turn, or of one backend server if Direct.
	URLs []string
	// Direct calls BackendService.Execute instead of RouterService.Call.
	Direct  bool
	Service string
	Method  string
	Team    string
	// Keys is the number of different keys; they are drawn uniformly.
	Keys int
	// KeyPrefix comes before the number of each key.
	KeyPrefix string
	// PayloadBytes is the size of each payload.
	PayloadBytes int
	// Payload, if set, is sent instead of PayloadBytes random bytes.
	Payload string
	// Idempotent marks requests as safe to run more than once.
	Idempotent bool
	// Workers is the number of callers, each with one request at a time.
	Workers int
	// RatePerSecond starts requests at this rate in all; 0 sends as fast as possible.
	RatePerSecond float64
	Duration      time.Duration
	// Timeout bounds each request.
	Timeout time.Duration
	Seed    uint64
}

// Validate returns the first fault of the settings.
func (c Config) Validate() error {
	switch {
	case len(c.URLs) == 0:
		return fmt.Errorf("--url is empty, allowed: one or more base URLs")
	case c.Workers <= 0:
		return fmt.Errorf("--workers is %d, allowed: at least 1", c.Workers)
	case c.Keys <= 0:
		return fmt.Errorf("--keys is %d, allowed: at least 1", c.Keys)
	case c.Duration <= 0:
		return fmt.Errorf("--duration is %v, allowed: a positive duration", c.Duration)
	case c.RatePerSecond < 0:
		return fmt.Errorf("--rate is %v, allowed: 0 or more", c.RatePerSecond)
	}
	return nil
}
