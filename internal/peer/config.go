// Package peer connects daemons: one multiplexed WebSocket connection for each pair,
// with CBOR frames in both directions.
package peer

import (
	"time"

	"go.uber.org/zap"
)

// Path is where a Pool is mounted on the daemon's HTTP server.
const Path = "/basilway/peer"

// DefaultIdleTimeout is the default of Config.IdleTimeout. Feed versions are compared with
// another random peer every second, so a daemon of a large cluster keeps about two
// connections open for each second of it, at 38 KB each.
const DefaultIdleTimeout = 5 * time.Second

// Defaults of Config.
const (
	defaultMaxInFlight    = 4096
	defaultMaxInbound     = 8192
	defaultQueueFrames    = 1024
	defaultMaxFrameBytes  = 1 << 20
	defaultMaxQueuedBytes = 8 << 20
	defaultDialTimeout    = time.Second
	defaultIdleTimeout    = DefaultIdleTimeout
	defaultPingInterval   = 500 * time.Millisecond
	defaultDeadAfter      = 2 * time.Second
	defaultWriteTimeout   = 5 * time.Second
	defaultMinBackoff     = 25 * time.Millisecond
	defaultMaxBackoff     = 500 * time.Millisecond
	defaultTick           = 100 * time.Millisecond
)

// Config configures a Pool. Zero fields take the defaults.
type Config struct {
	// Address is where other daemons reach this one, as host:port. An accepted
	// connection also carries calls to the address that its dialer gives here.
	Address string
	// Identity names the session; handlers of the other side see it.
	Identity string
	// Keys are the shared keys that are accepted; the first is sent. Without keys only
	// loopback connections are accepted.
	Keys []string
	// MaxInFlight bounds the calls that wait for an answer on a connection; 4096.
	MaxInFlight int
	// MaxInbound bounds the handlers that run for a connection; 8192. It should not be
	// below MaxInFlight of the other side, or calls within their limit are refused.
	MaxInbound int
	// QueueFrames bounds the frames that wait to be written on a connection; 1024. More
	// absorb longer bursts, but a call waits longer before it learns of congestion, and
	// each costs 8 bytes of every connection.
	QueueFrames int
	// MaxQueuedBytes bounds the bytes of those frames; 8 MiB.
	MaxQueuedBytes int
	// MaxFrameBytes bounds an encoded frame; 1 MiB.
	MaxFrameBytes int
	// DialTimeout bounds the opening of a connection; 1 s.
	DialTimeout time.Duration
	// IdleTimeout closes a connection without calls; 5 s. Opening costs about 1 ms, so a
	// short time delays calls to peers that are called rarely; a long one takes memory.
	IdleTimeout time.Duration
	// PingInterval is how long a connection with waiting calls may be silent before it
	// is probed; 500 ms.
	PingInterval time.Duration
	// DeadAfter closes a connection with waiting calls that stays silent; 2 s. A short
	// time finds a dead peer sooner, but a paused one loses its calls.
	DeadAfter time.Duration
	// WriteTimeout closes a connection whose other side does not read; 5 s.
	WriteTimeout time.Duration
	// MinBackoff and MaxBackoff bound the pause after a failed dial; 25 ms and 500 ms.
	// Lease renewals, at 400 ms, need a low maximum.
	MinBackoff, MaxBackoff time.Duration
	// Tick is the interval of the checks above; 100 ms.
	Tick time.Duration
	// Logger is optional.
	Logger *zap.Logger
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxInFlight, defaultMaxInFlight)
	setDefault(&c.MaxInbound, defaultMaxInbound)
	setDefault(&c.QueueFrames, defaultQueueFrames)
	setDefault(&c.MaxQueuedBytes, defaultMaxQueuedBytes)
	setDefault(&c.MaxFrameBytes, defaultMaxFrameBytes)
	setDefault(&c.DialTimeout, defaultDialTimeout)
	setDefault(&c.IdleTimeout, defaultIdleTimeout)
	setDefault(&c.PingInterval, defaultPingInterval)
	setDefault(&c.DeadAfter, defaultDeadAfter)
	setDefault(&c.WriteTimeout, defaultWriteTimeout)
	setDefault(&c.MinBackoff, defaultMinBackoff)
	setDefault(&c.MaxBackoff, defaultMaxBackoff)
	setDefault(&c.Tick, defaultTick)
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
