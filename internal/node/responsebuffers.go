package node

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
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
// result is an error, so that the request can be retried.
// The account of the request in ctx has to have room for them, else it is passed on while it is received.
func (b *responseBuffers) buffer(ctx context.Context, out outcome) outcome {
	resp, request := out.resp, inputlimit.FromContext(ctx)
	reserved, limit := int64(maxBufferedResponse), int64(maxBufferedResponse)
	if resp.ContentLength >= 0 {
		reserved = min(reserved, resp.ContentLength)
	}
	accounted := reserved
	if b.bytes.Add(reserved) > maxBufferedBytes || !request.TryGrow(accounted) {
		b.bytes.Add(-reserved)
		reserved, accounted, limit = 0, 0, minBufferedResponse
	}
	release := sync.OnceFunc(func() {
		b.bytes.Add(-reserved)
		request.Shrink(accounted)
	})
	var buffered bytes.Buffer
	if resp.ContentLength > 0 && resp.ContentLength <= limit {
		// Without room for a further read, the buffer would double its size at the end.
		buffered.Grow(int(resp.ContentLength) + bytes.MinRead)
	}
	_, err := io.CopyN(&buffered, resp.Body, limit)
	b.bytes.Add(int64(buffered.Cap()) - reserved)
	reserved = int64(buffered.Cap())
	request.Shrink(accounted - min(accounted, reserved))
	accounted = min(accounted, reserved)
	if err != nil && !errors.Is(err, io.EOF) {
		release()
		resp.Body.Close()
		return outcome{err: verdict.New(verdict.MayHaveRun, verdict.ReasonBackendError, "answer broke off after %d bytes: %v", buffered.Len(), err), arrived: true, load: out.load}
	}
	rest := resp.Body
	if errors.Is(err, io.EOF) {
		rest.Close()
		resp.ContentLength = int64(buffered.Len())
		resp.Body = &bufferedBody{Reader: &buffered, release: release}
		return out
	}
	resp.Body = &bufferedBody{Reader: io.MultiReader(&buffered, rest), rest: rest, release: release}
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
