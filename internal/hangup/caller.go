// Package hangup finds out whether the other side of a connection has left, by asking the system. That needs no
// goroutine that reads the connection, which may not have run for lack of processor time.
package hangup

import (
	"context"
	"net"
)

// connKey is the context key of the connection that a request came on.
type connKey struct{}

// WithConn returns a context for the requests that come on a connection. It can be the ConnContext of an http.Server.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// CallerLeft reports whether a request is not to be sent on: its context has ended, or the connection that it came on
// was closed by the other side, even if nobody has read that yet.
func CallerLeft(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c, ok := ctx.Value(connKey{}).(net.Conn)
	return ok && HasClosed(c)
}
