package httpclient

import "time"

// Config configures a Pool.
type Config struct {
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// UserTimeout is the TCP user timeout: a connection whose sent bytes are not
	// acknowledged for that long is closed; 0 keeps the system's default.
	UserTimeout time.Duration
	// SilenceTimeout is how long a connection is kept if its peer answers no keep-alive probes: 2 s
	// or more, in whole seconds; 0 for 4 s. With a short one a few lost packets end a sound
	// connection.
	SilenceTimeout time.Duration
	// IdleTimeout is the longest time that an unused connection is kept, unless the
	// server's Keep-Alive header gives a shorter one.
	IdleTimeout time.Duration
	// MaxIdle limits the number of unused connections.
	MaxIdle int
	// ReadBuffer is the size in bytes of a connection's read buffer.
	ReadBuffer int
}
