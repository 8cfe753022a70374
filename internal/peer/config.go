// Package peer connects daemons. Each pair of daemons shares one multiplexed WebSocket
// connection that carries CBOR frames in both directions.
package peer

import (
	"time"

	"go.uber.org/zap"
)

// Path is the path at which the daemon's HTTP server serves its Pool.
const Path = "/basilway/peer"

// DefaultIdleTimeout is the default of Config.IdleTimeout. A daemon compares feed versions
// with another random peer every second, so in a large cluster it keeps about two
// connections open for each second of this timeout, at 38 KB each.
const DefaultIdleTimeout = 5 * time.Second

// Defaults of Config.
const (
	defaultMaxInFlight     = 4096
	defaultMaxInbound      = 8192
	defaultMaxQueuedFrames = 1024
	defaultMaxFrameBytes   = 1 << 20
	defaultMaxQueuedBytes  = 8 << 20
	defaultDialTimeout     = time.Second
	defaultIdleTimeout     = DefaultIdleTimeout
	defaultPingInterval    = 500 * time.Millisecond
	defaultDeadTimeout     = 2 * time.Second
	defaultWriteTimeout    = 5 * time.Second
	defaultMinBackoff      = 25 * time.Millisecond
	defaultMaxBackoff      = 500 * time.Millisecond
	defaultCheckInterval   = 100 * time.Millisecond
)

// Config configures a Pool. Zero fields take the defaults.
type Config struct {
	// Address is where other daemons reach this one, as host:port. It is sent in the
	// handshake, and the peer uses the connection for its own calls to this address.
	Address string
	// Identity names the session; it is passed to the handlers of the peer.
	Identity string
	// Keys are the shared keys that are accepted; the first one is sent. Without keys only
	// loopback connections are accepted.
	Keys []string
	// MaxInFlight bounds the calls that wait for a response on a connection; 4096 if 0.
	MaxInFlight int
	// MaxInbound bounds the handlers that run for a connection; 8192 if 0. It should be at
	// least MaxInFlight of the peer, or calls within the peer's limit are refused.
	MaxInbound int
	// MaxQueuedFrames bounds the frames that wait to be written on a connection; 1024 if
	// 0. A longer queue absorbs longer bursts, but calls wait longer before they fail
	// because of congestion, and each place takes 8 bytes in every connection.
	MaxQueuedFrames int
	// MaxQueuedBytes bounds the total size of those frames; 8 MiB if 0.
	MaxQueuedBytes int
	// MaxFrameBytes bounds the size of an encoded frame; 1 MiB if 0.
	MaxFrameBytes int
	// DialTimeout bounds the opening of a connection; 1 s if 0.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection without calls stays open; 5 s if 0. Opening a
	// connection takes about 1 ms, so a short timeout delays calls to peers that are
	// rarely called; a long one costs memory.
	IdleTimeout time.Duration
	// PingInterval is how long a connection with pending calls may be silent before a
	// ping is sent; 500 ms if 0.
	PingInterval time.Duration
	// DeadTimeout is how long a connection with pending calls may be silent before it is
	// closed; 2 s if 0. A short timeout detects a dead peer sooner, but also fails the
	// calls to a peer that only pauses.
	DeadTimeout time.Duration
	// WriteTimeout is how long a write may block before the connection is closed because
	// the peer does not read; 5 s if 0.
	WriteTimeout time.Duration
	// MinBackoff and MaxBackoff bound the delay after a failed dial; 25 ms and 500 ms if
	// 0. Leases are renewed every 400 ms, which needs a low maximum.
	MinBackoff, MaxBackoff time.Duration
	// CheckInterval is the time between checks of the timeouts above; 100 ms if 0.
	CheckInterval time.Duration
	// Logger is optional.
	Logger *zap.Logger
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxInFlight, defaultMaxInFlight)
	setDefault(&c.MaxInbound, defaultMaxInbound)
	setDefault(&c.MaxQueuedFrames, defaultMaxQueuedFrames)
	setDefault(&c.MaxQueuedBytes, defaultMaxQueuedBytes)
	setDefault(&c.MaxFrameBytes, defaultMaxFrameBytes)
	setDefault(&c.DialTimeout, defaultDialTimeout)
	setDefault(&c.IdleTimeout, defaultIdleTimeout)
	setDefault(&c.PingInterval, defaultPingInterval)
	setDefault(&c.DeadTimeout, defaultDeadTimeout)
	setDefault(&c.WriteTimeout, defaultWriteTimeout)
	setDefault(&c.MinBackoff, defaultMinBackoff)
	setDefault(&c.MaxBackoff, defaultMaxBackoff)
	setDefault(&c.CheckInterval, defaultCheckInterval)
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	return c
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
