package daemon

import (
	"context"
	"errors"
	"net/netip"
	"strings"

	"connectrpc.com/connect"

	"github.com/basilway/basilway/internal/config"
)

var errUnauthorized = errors.New("an operator key is required (Authorization: Bearer KEY); " +
	"without operator keys in the daemon's settings only calls from loopback are accepted")

// operatorInterceptor rejects calls that authorized does not accept.
func operatorInterceptor(keys config.Keys) connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			if !authorized(keys, req) {
				return nil, connect.NewError(connect.CodeUnauthenticated, errUnauthorized)
			}
			return next(ctx, req)
		}
	})
}

func authorized(keys config.Keys, req connect.AnyRequest) bool {
	key := strings.TrimPrefix(req.Header().Get("Authorization"), "Bearer ")
	remote, err := netip.ParseAddrPort(req.Peer().Addr)
	return err == nil && keys.Authorize(key, remote.Addr())
}
