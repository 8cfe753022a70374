// Package loadgen sends requests to daemons or directly to a backend server and measures
// throughput, latency and failures as callers see them.
package loadgen

import (
	"fmt"
	"time"
)

// Config configures one run.
type Config struct {
	// URLs are base URLs of daemons, assigned to the workers in turn, or of one backend
	// server if Direct is set.
	URLs []string
	// Direct calls BackendService.Execute instead of RouterService.Call.
	Direct  bool
	Service string
	Method  string
	Team    string
	// Keys is the number of distinct keys. Each request uses one, chosen uniformly at random.
	Keys int
	// KeyPrefix is the text before the number of each key.
	KeyPrefix string
	// PayloadBytes is the size of each payload, if Payload is empty.
	PayloadBytes int
	// Payload, if set, is sent instead of PayloadBytes filler bytes.
	Payload string
	// Idempotent marks requests as safe to run more than once.
	Idempotent bool
	// Workers is the number of concurrent callers, each with one request in flight.
	Workers int
	// RatePerSecond is the total request rate of all workers; 0 sends as fast as possible.
	RatePerSecond float64
	Duration      time.Duration
	// Timeout is the timeout of each request.
	Timeout time.Duration
	// Seed determines the keys that the workers choose.
	Seed uint64
}

// Validate returns an error for the first invalid setting.
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
