package httpclient

import (
	"errors"
	"io"
)

// trackedBody records whether a response was read to its end.
type trackedBody struct {
	io.ReadCloser
	// checkEnd is called when the end was read. It returns why the response is not complete all the same.
	checkEnd func() error
	finish   func(complete bool)
	complete bool
	broken   error
	closed   bool
}

func (b *trackedBody) Read(p []byte) (int, error) {
	if b.broken != nil {
		return 0, b.broken
	}
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if b.broken = b.checkEnd(); b.broken != nil {
		return n, b.broken
	}
	b.complete = true
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
