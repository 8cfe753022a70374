package node

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync/atomic"

	"github.com/basilway/basilway/internal/inputlimit"
	"github.com/basilway/basilway/verdict"
)

const (
	// maxBufferedResponse is the size in bytes up to which a response is read whole before
	// it is sent to the client, so that a truncated one can be replaced by a retry.
	maxBufferedResponse = 640 << 10
	// maxBufferedBytes bounds the bytes of all responses that are buffered at a time. Clients that read
	// slowly would otherwise take as much memory as there are requests. Beyond it, a response is passed
	// on while it is received, and a truncated one is not retried.
	maxBufferedBytes = 32 << 20
	// minBufferedResponse is what is buffered of a response in any case.
	minBufferedResponse = 4 << 10
)

// responseBuffers counts the buffered bytes of all responses. It is safe for concurrent use.
type responseBuffers struct{ bytes atomic.Int64 }

// buffer reads up to maxBufferedResponse bytes of a response. If it is truncated within them, the
// result is an error, so that the request can be retried. As far as there is no room, also on the account
// of the request in ctx, the response is passed on while it is received.
func (b *responseBuffers) buffer(ctx context.Context, out outcome) outcome {
	resp := out.resp
	r := &responseBuffer{all: b, request: inputlimit.FromContext(ctx)}
	end := r.read(resp.Body, resp.ContentLength)
	if end != nil && !errors.Is(end, io.EOF) {
		r.release()
		resp.Body.Close()
		return outcome{err: verdict.New(verdict.MayHaveRun, verdict.ReasonBackendError, "answer broke off after %d bytes: %v", len(r.data), end), arrived: true, load: out.load}
	}
	rest := resp.Body
	if errors.Is(end, io.EOF) {
		rest.Close()
		resp.ContentLength = int64(len(r.data))
		resp.Body = &bufferedBody{Reader: bytes.NewReader(r.data), release: r.release}
		return out
	}
	resp.Body = &bufferedBody{Reader: io.MultiReader(bytes.NewReader(r.data), rest), rest: rest, release: r.release}
	return out
}

// bufferedBody is the body of a response whose first part is buffered.
type bufferedBody struct {
	io.Reader
	// rest is the part that is not buffered; nil if there is none.
	rest    io.Closer
	release func()
}

// Close ends the response.
func (b *bufferedBody) Close() error {
	b.release()
	if b.rest == nil {
		return nil
	}
	return b.rest.Close()
}
