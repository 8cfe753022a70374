// Package backendsim is a stand-in for a backend server. It keeps state for each key,
// records the requests that it executed and simulates faults.
package backendsim

import (
	"io"
	"time"

	"go.uber.org/zap"
)

const (
	defaultSlots            = 6
	defaultAnnounceInterval = time.Second
	// compressMinBytes is the size from which responses are compressed. Compressing small
	// ones would hide the time that a daemon adds to a call.
	compressMinBytes = 16 << 10
	defaultLogSize   = 200_000 // entries
	// defaultQueuePerSlot is the default queue length per slot.
	defaultQueuePerSlot = 8
	// coldStartFactor multiplies the service time at the beginning of a cold start.
	coldStartFactor = 4
)

// Config configures a Server.
type Config struct {
	// Service is the name that the server announces.
	Service string
	// Slots is the number of requests that run at a time; 6 if 0.
	Slots int
	// MaxQueue bounds the requests that wait for a slot; further ones are shed. 8 for each
	// slot if 0.
	MaxQueue int
	// ServiceTime is how long each request holds its slot.
	ServiceTime time.Duration
	// ColdStart is how long the server is slower than usual after its start.
	ColdStart time.Duration
	// ChecksGrants makes the server refuse expired and superseded grants.
	ChecksGrants bool
	// AnnounceURL is the base URL of the daemon; without it nothing is announced.
	AnnounceURL string
	// AnnounceInterval is the time between announcements; 1 s if 0.
	AnnounceInterval time.Duration
	// LogSize bounds the execution log, in entries; 200,000 if 0.
	LogSize int
	// LogWriter receives each entry of the execution log as a line of JSON, so that the
	// log survives a crash. Optional.
	LogWriter io.Writer
	// Seed makes the random faults reproducible.
	Seed uint64
	// OnCrash is called when the server crashes, after its connections are closed.
	OnCrash func()
	// Logger is optional.
	Logger *zap.Logger
}

func (c Config) withDefaults() Config {
	if c.Slots <= 0 {
		c.Slots = defaultSlots
	}
	if c.MaxQueue <= 0 {
		c.MaxQueue = defaultQueuePerSlot * c.Slots
	}
	if c.AnnounceInterval <= 0 {
		c.AnnounceInterval = defaultAnnounceInterval
	}
	if c.LogSize <= 0 {
		c.LogSize = defaultLogSize
	}
	if c.OnCrash == nil {
		c.OnCrash = func() {}
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	return c
}
