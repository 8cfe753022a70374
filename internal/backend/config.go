package backend

import (
	"time"

	"go.uber.org/zap"
)

const (
	defaultProbeInterval = 500 * time.Millisecond
	defaultProbeTimeout  = 500 * time.Millisecond
	defaultFreezeAfter   = 1500 * time.Millisecond
	defaultDialTimeout   = 500 * time.Millisecond
	defaultCrashWindow   = 3 * time.Second
	// idleConnTimeout is below the usual idle timeouts of servers, because a server that
	// closes a connection just when a request is written makes the outcome uncertain.
	idleConnTimeout = 20 * time.Second
	// spareConns are connections beyond the slots, for requests that follow a cancelled one.
	spareConns = 4
	// maxEvents bounds the events that wait for the daemon.
	maxEvents      = 64
	maxAnswerBytes = 8 << 20
	maxLost        = 1024
)

// Config configures a Client. Zero fields take the defaults.
type Config struct {
	// Service is the only service that may be announced; any if empty.
	Service string
	// Instance is the name that announcements are answered with.
	Instance string
	// ProbeInterval is the time between health probes; 500 ms.
	ProbeInterval time.Duration
	// ProbeTimeout bounds a probe; 500 ms.
	ProbeTimeout time.Duration
	// FreezeAfter is how long the server may be silent, while probes fail, before it
	// counts as frozen; 1.5 s. Shorter finds a freeze sooner, but a pause of the
	// server, such as a garbage collection, then costs it its ranges.
	FreezeAfter time.Duration
	// DialTimeout bounds the opening of a connection; 500 ms.
	DialTimeout time.Duration
	// CrashWindow is how long a request whose connection broke is held to be involved in
	// a crash that is found later; 3 s, three announcements.
	CrashWindow time.Duration
	// Logger is optional.
	Logger *zap.Logger
}

func (c Config) withDefaults() Config {
	for field, value := range map[*time.Duration]time.Duration{
		&c.ProbeInterval: defaultProbeInterval,
		&c.ProbeTimeout:  defaultProbeTimeout,
		&c.FreezeAfter:   defaultFreezeAfter,
		&c.DialTimeout:   defaultDialTimeout,
		&c.CrashWindow:   defaultCrashWindow,
	} {
		if *field <= 0 {
			*field = value
		}
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	return c
}
