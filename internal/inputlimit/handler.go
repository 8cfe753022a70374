package inputlimit

import (
	"context"
	"net"
	"net/http"
)

// RequestCost is what a request costs beside its header and its body: the goroutines, buffers and
// connections that serve it.
const RequestCost = 32 << 10

// connKey is the context key of a Conn.
type connKey struct{}

// WithConn returns a context for the requests of a connection, for the ConnContext of an http.Server.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	if c, ok := c.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// Handler accounts for the requests of an http.Server whose connections are of a limiter. If there is no
// room for one, refuse answers it.
func Handler(next http.Handler, refuse http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		request := c.current()
		if r.ProtoMajor > 1 {
			// The connection carries several requests, and their headers are not counted as they pass.
			request = c.holder.NewRequest()
			if !request.Grow(ParsedCost(r.Header)) {
				refuse(w, r)
				return
			}
		}
		defer func() {
			request.End()
			c.holder.endIfClosed() // http.Server keeps the connection for a moment
		}()
		Serve(w, r, request, next, refuse)
		if r.ContentLength != 0 && r.ProtoMajor == 1 {
			// http.Server still awaits a part of the body, so that the connection can be kept.
			_ = c.SetReadDeadline(c.holder.BodyDeadline()) // fails only on a closed connection
		}
	})
}

// ParsedCost returns what a header costs that was not counted while it was received.
func ParsedCost(h http.Header) int64 {
	cost := 0
	for name, values := range h {
		for _, value := range values {
			cost += (len(name)+len(value))*byteCost + lineCost
		}
	}
	return int64(cost)
}

// Serve runs a request with its account in its context, or refuses it if there is no room for it.
func Serve(w http.ResponseWriter, r *http.Request, request *Request, next http.Handler, refuse http.HandlerFunc) {
	if !request.Grow(RequestCost) {
		if r.ProtoMajor == 1 {
			w.Header().Set("Connection", "close")
		}
		refuse(w, r)
		return
	}
	request.SetRunning(true)
	defer request.SetRunning(false)
	next.ServeHTTP(w, r.WithContext(WithRequest(r.Context(), request)))
}
