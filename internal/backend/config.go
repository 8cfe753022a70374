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
	// idleConnTimeout is below the usual idle timeouts of servers. If a server closes a
	// connection while a request is written, it is unknown whether the request ran.
	idleConnTimeout = 20 * time.Second
	// spareConns is the number of idle connections kept beyond the slots, for requests that
	// follow a cancelled one.
	spareConns = 4
	// noticeBufferSize is the capacity of the channel of notices.
	noticeBufferSize = 64
	maxResponseBytes = 8 << 20
	maxLostRequests  = 1024
)

// Config configures a Client. Zero fields take the defaults.
type Config struct {
	// Service is the only service that may be announced; any if empty.
	Service string
	// Instance is the name of this instance, which responses to announcements contain.
	Instance string
	// ProbeInterval is the time between health probes; 500 ms if 0.
	ProbeInterval time.Duration
	// ProbeTimeout bounds a probe; 500 ms if 0.
	ProbeTimeout time.Duration
	// FreezeAfter is how long the server may be silent, while probes fail, before it
	// counts as frozen; 1.5 s if 0. A shorter time detects a freeze sooner, but then a
	// short pause of the server, such as a garbage collection, costs it its ranges.
	FreezeAfter time.Duration
	// DialTimeout bounds the opening of a connection; 500 ms if 0.
	DialTimeout time.Duration
	// CrashWindow is how long after its connection broke a request is still attributed to
	// a crash that is detected later; 3 s if 0, the time of three announcements.
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
