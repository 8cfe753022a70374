// Package connectplatform carries the platform interfaces over connect-go: a client
// for daemons and the handlers of the stand-in server.
package connectplatform

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptrace"
	"sync/atomic"

	"connectrpc.com/connect"

	"github.com/basilway/basilway/metastore"
)

// outcomeHeader marks errors that the store itself produced. An error without it may
// come from the transport, so it proves nothing about the effect of a write.
const outcomeHeader = "Basilway-Store-Outcome"

// The values of outcomeHeader.
const (
	outcomeConflict    = "conflict"
	outcomeUnavailable = "unavailable"
	outcomeNotFound    = "not_found"
)

// encodeError returns the wire form of an error of metastore/memory. ErrUnknown has
// none: the caller drops the connection instead.
func encodeError(err error) error {
	var wire *connect.Error
	switch {
	case errors.Is(err, metastore.ErrConflict):
		wire = connect.NewError(connect.CodeAborted, err)
		wire.Meta().Set(outcomeHeader, outcomeConflict)
	case errors.Is(err, metastore.ErrNotFound):
		wire = connect.NewError(connect.CodeNotFound, err)
		wire.Meta().Set(outcomeHeader, outcomeNotFound)
	case errors.Is(err, metastore.ErrUnavailable):
		wire = connect.NewError(connect.CodeUnavailable, err)
		wire.Meta().Set(outcomeHeader, outcomeUnavailable)
	default:
		wire = connect.NewError(connect.CodeInternal, err)
	}
	return wire
}

// sentTracker records whether a request may have reached the server.
type sentTracker struct{ connected atomic.Bool }

// attach returns a context whose requests report to t. GotConn runs on the goroutine
// of the caller before any byte is written, so a cancelled call cannot miss it. The
// transport tries again by itself only when nothing was written, so GetConn resets.
func (t *sentTracker) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { t.connected.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) },
	})
}

// decodeRead maps the error of a read, which never has an effect.
func decodeRead(err error) error {
	if err == nil {
		return nil
	}
	if kind := definite(err); kind != nil {
		return fmt.Errorf("%w: %w", kind, err)
	}
	return fmt.Errorf("%w: %w", metastore.ErrUnavailable, err)
}

// decodeWrite maps the error of a write. Only an error of the store, or a request that
// got no connection, is certain not to have an effect.
func decodeWrite(err error, sent *sentTracker) error {
	if err == nil {
		return nil
	}
	if kind := definite(err); kind != nil {
		return fmt.Errorf("%w: %w", kind, err)
	}
	if !sent.connected.Load() {
		return fmt.Errorf("%w: %w", metastore.ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", metastore.ErrUnknown, err)
}

// definite returns the platform error that the store itself answered, or nil.
func definite(err error) error {
	var wire *connect.Error
	if !errors.As(err, &wire) {
		return nil
	}
	switch wire.Meta().Get(outcomeHeader) {
	case outcomeConflict:
		return metastore.ErrConflict
	case outcomeNotFound:
		return metastore.ErrNotFound
	case outcomeUnavailable:
		return metastore.ErrUnavailable
	}
	return nil
}
