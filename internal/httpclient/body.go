package httpclient

import (
	"errors"
	"io"
)

// trackedBody records whether a response was read to its end.
type trackedBody struct {
	io.ReadCloser
	finish   func(complete bool)
	complete bool
	closed   bool
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.complete = true
	}
	return n, err
}

// Close ends the exchange. Unless the response was read to its end, the connection is
// closed.
func (b *trackedBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	b.finish(b.complete)
	return nil
}
