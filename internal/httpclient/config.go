package httpclient

import "time"

// Config tunes a Pool.
type Config struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// UserTimeout closes a connection whose sent bytes are not acknowledged for so long;
	// 0 leaves the system's default.
	UserTimeout time.Duration
	// IdleTimeout is the longest time a connection is kept unused, unless the server's
	// Keep-Alive header names a shorter one.
	IdleTimeout time.Duration
	// MaxIdle bounds the unused connections.
	MaxIdle int
	// ReadBuffer is the size in bytes of the buffer of a connection.
	ReadBuffer int
}
