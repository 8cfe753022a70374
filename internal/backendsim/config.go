// Package backendsim is a stand-in for a backend server: it keeps state for each key,
// records what it executed and fails on request.
package backendsim

import (
	"io"
	"time"

	"go.uber.org/zap"
)

const (
	defaultSlots            = 6
	defaultAnnounceInterval = time.Second
	// compressMinBytes is the size from which answers are compressed; the compression of
	// small ones would hide what a daemon adds to a call.
	compressMinBytes = 16 << 10
	defaultLogSize   = 200_000
	// queuePerSlot is the length of the default queue for each slot.
	queuePerSlot = 8
	// coldFactor multiplies the service time right after the start of a cold server.
	coldFactor = 4
)

// Config configures a Server.
type Config struct {
	// Service is the name that the server announces.
	Service string
	// Slots is the number of requests that run at a time; 6 if 0.
	Slots int
	// MaxQueue is the number of requests that wait for a slot before the server
	// sheds; 8 for each slot if 0.
	MaxQueue int
	// ServiceTime is how long each request holds its slot.
	ServiceTime time.Duration
	// ColdStart is how long after its start the server is slower than usual.
	ColdStart time.Duration
	// ChecksGrants makes the server refuse void and superseded grants.
	ChecksGrants bool
	// AnnounceURL is the base URL of the daemon; without it nothing is announced.
	AnnounceURL string
	// AnnounceInterval is the time between announcements; 1 s if 0.
	AnnounceInterval time.Duration
	// LogSize bounds the execution log, in entries; 200,000 if 0.
	LogSize int
	// LogCopy gets each entry of the execution log as a line of JSON, so that the log
	// outlives a crash. Optional.
	LogCopy io.Writer
	// Seed makes random faults repeatable.
	Seed uint64
	// OnCrash runs when the server crashes, after its connections are closed.
	OnCrash func()
	// Logger is optional.
	Logger *zap.Logger
}

func (c Config) withDefaults() Config {
	if c.Slots <= 0 {
		c.Slots = defaultSlots
	}
	if c.MaxQueue <= 0 {
		c.MaxQueue = queuePerSlot * c.Slots
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
