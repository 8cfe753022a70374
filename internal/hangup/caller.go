// Package hangup finds out whether the other side of a connection has left, by asking the system. That needs no
// goroutine that reads the connection, which may not have run for lack of processor time.
package hangup

import (
	"context"
	"net"
	"time"
)

// checkAfter is how long a request may be on its way through this process before the system is asked. Each question is a
// call of the system; a request that was delayed by less is not sent much later than its caller left.
const checkAfter = 50 * time.Millisecond

// connKey is the context key of the connection that a request came on.
type connKey struct{}

// WithConn returns a context for the requests that come on a connection. It can be the ConnContext of an http.Server.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// CallerLeft reports whether a request that was read at a time is not to be sent on: its context has ended, or it was
// delayed and the connection that it came on was closed by the other side, even if nobody has read that yet.
func CallerLeft(ctx context.Context, read time.Time) bool {
	if ctx.Err() != nil {
		return true
	}
	if time.Since(read) < checkAfter {
		return false
	}
	c, ok := ctx.Value(connKey{}).(net.Conn)
	return ok && HasClosed(c)
}
