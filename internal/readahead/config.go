package readahead

import (
	"net"
	"net/http"
	"time"

	"github.com/basilway/basilway/internal/inputlimit"
	"github.com/basilway/basilway/pipeline"
)

// Config configures a Server.
type Config struct {
	// Handler runs the requests.
	Handler http.Handler
	// Idempotent reports whether a request may run at the same time as others of its
	// connection. It is asked only about requests without a body.
	Idempotent func(*http.Request) bool
	// Bounds are the bounds of one connection.
	Bounds pipeline.Config
	// MaxHeldBytes bounds the bytes of one response that are kept until earlier responses
	// have been written. Beyond it, the handler's Write blocks. More memory lets more handlers
	// end early.
	MaxHeldBytes int
	// MaxInstanceBytes bounds the bytes of requests read ahead and of responses held back over
	// all connections, as sent. Beyond it, connections read one request at a time and responses are not
	// held back. Limiter bounds what they cost in memory.
	MaxInstanceBytes int64
	// HeaderTimeout returns how long a client may take to send a header, from its first byte.
	HeaderTimeout func() time.Duration
	// IdleTimeout is how long a connection without requests is kept.
	IdleTimeout time.Duration
	// WriteTimeout is how long a client may take to read maxWritePiece bytes of a response. Its
	// connection is closed then; 0 means no limit.
	WriteTimeout time.Duration
	// WriteTimedOut is called for each connection that is closed for it; nil if nobody needs it.
	WriteTimedOut func()
	// MaxHeaderBytes bounds the size of a header.
	MaxHeaderBytes int
	// Limiter accounts for what the connections hold; nil for no limit. Refuse answers requests for which
	// it has no room; they have not run.
	Limiter *inputlimit.Limiter
	Refuse  http.HandlerFunc
	// ConnState is called when a client connection changes its state, as in http.Server; nil
	// if nobody needs it.
	ConnState func(net.Conn, http.ConnState)
	// ObserveWait is called for each request with the times that it waited; nil if nobody
	// needs it.
	ObserveWait func(Wait)
}

// Wait says how long a request waited on its connection.
type Wait struct {
	// Unread is the time from the first byte of the request until its handler ran it.
	Unread time.Duration
	// Held is the time for which its response waited for earlier responses.
	Held time.Duration
}

// maxBufferedRequest is the size in bytes up to which a request with its body is read ahead.
// The server reads larger ones from the connection itself, one after the other.
const maxBufferedRequest = 128 << 10

// maxWritePiece is the number of bytes that are written to a client at once. It bounds what a client
// must read within the write timeout, also if a response is written in one piece.
const maxWritePiece = 16 << 10

// lingerTimeout is how long a closed connection is still read, so that the client gets the
// last response before a reset.
const lingerTimeout = 500 * time.Millisecond

// readBuffer is the size in bytes of a connection's read buffer.
const readBuffer = 4 << 10
