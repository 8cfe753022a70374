package httpclient

import (
	"errors"
	"io"
)

// body tells the pool whether an answer was read to its end.
type body struct {
	io.ReadCloser
	finish func(whole bool)
	whole  bool
	closed bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.whole = true
	}
	return n, err
}

// Close ends the exchange. Unless the answer was read to its end, the connection is closed.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	b.finish(b.whole)
	return nil
}
