package daemon

import (
	"context"
	"crypto/subtle"
	"errors"
	"net"
	"strings"

	"connectrpc.com/connect"
)

var errUnauthorized = errors.New("an operator key is required (Authorization: Bearer KEY)")

// authorizer admits operators by key. Without any key it admits loopback callers only.
type authorizer struct {
	keys []string
}

// check decides by the header and the peer's address of a call.
func (a authorizer) check(authorization, remote string) error {
	if len(a.keys) == 0 {
		if isLoopback(remote) {
			return nil
		}
		return errors.New("without operator keys in the settings only calls from loopback are accepted")
	}
	given, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok {
		return errUnauthorized
	}
	match := 0
	for _, key := range a.keys {
		match |= subtle.ConstantTimeCompare([]byte(given), []byte(key))
	}
	if match == 0 {
		return errUnauthorized
	}
	return nil
}

// interceptor guards all calls of a connect handler.
func (a authorizer) interceptor() connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			if err := a.check(req.Header().Get("Authorization"), req.Peer().Addr); err != nil {
				return nil, connect.NewError(connect.CodeUnauthenticated, err)
			}
			return next(ctx, req)
		}
	})
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}
