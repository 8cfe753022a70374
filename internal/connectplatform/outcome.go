// Package connectplatform carries the platform interfaces over connect-go. It contains
// the client for daemons and the handlers of the stand-in server.
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

// outcomeHeader marks errors that the store itself returned. An error without it may come
// from the transport, so a write that failed with it may still have taken effect.
const outcomeHeader = "Basilway-Store-Outcome"

// Values of outcomeHeader.
const (
	outcomeConflict    = "conflict"
	outcomeUnavailable = "unavailable"
	outcomeNotFound    = "not_found"
)

// encodeError converts an error of metastore/memory to a connect error. It is not used for
// ErrUnknown: then the server drops the connection instead.
func encodeError(err error) error {
	var connectErr *connect.Error
	switch {
	case errors.Is(err, metastore.ErrConflict):
		connectErr = connect.NewError(connect.CodeAborted, err)
		connectErr.Meta().Set(outcomeHeader, outcomeConflict)
	case errors.Is(err, metastore.ErrNotFound):
		connectErr = connect.NewError(connect.CodeNotFound, err)
		connectErr.Meta().Set(outcomeHeader, outcomeNotFound)
	case errors.Is(err, metastore.ErrUnavailable):
		connectErr = connect.NewError(connect.CodeUnavailable, err)
		connectErr.Meta().Set(outcomeHeader, outcomeUnavailable)
	default:
		connectErr = connect.NewError(connect.CodeInternal, err)
	}
	return connectErr
}

// sentTracker records whether a request may have reached the server.
type sentTracker struct{ connected atomic.Bool }

// attach returns a context whose requests update t. GotConn runs on the goroutine of the
// caller before any byte is written, so it has run when a cancelled call returns. The
// transport retries on its own only if nothing was written, so GetConn resets connected.
func (t *sentTracker) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { t.connected.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) },
	})
}

// decodeReadError maps the error of a read to a platform error. A read has no effect, so
// the outcome is never unknown.
func decodeReadError(err error) error {
	if err == nil {
		return nil
	}
	if storeErr := storeError(err); storeErr != nil {
		return fmt.Errorf("%w: %w", storeErr, err)
	}
	return fmt.Errorf("%w: %w", metastore.ErrUnavailable, err)
}

// decodeWriteError maps the error of a write to a platform error. The write certainly had
// no effect only if the store returned the error or the request got no connection.
func decodeWriteError(err error, sent *sentTracker) error {
	if err == nil {
		return nil
	}
	if storeErr := storeError(err); storeErr != nil {
		return fmt.Errorf("%w: %w", storeErr, err)
	}
	if !sent.connected.Load() {
		return fmt.Errorf("%w: %w", metastore.ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", metastore.ErrUnknown, err)
}

// storeError returns the platform error that the store itself returned, or nil if err did
// not come from the store.
func storeError(err error) error {
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return nil
	}
	switch connectErr.Meta().Get(outcomeHeader) {
	case outcomeConflict:
		return metastore.ErrConflict
	case outcomeNotFound:
		return metastore.ErrNotFound
	case outcomeUnavailable:
		return metastore.ErrUnavailable
	}
	return nil
}
