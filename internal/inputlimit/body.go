package inputlimit

import "io"

// chargedBody is the body of a request. What was read of it is accounted for until the request ends, for
// handlers that read bodies whole by themselves.
type chargedBody struct {
	io.ReadCloser
	request *Request
	// factor is what a byte costs, full the error if there is no room.
	factor int64
	full   error
}

// ChargeBody returns the body of a request that accounts for what is read of it, times factor. If there
// is no room for that, reads return full.
func (r *Request) ChargeBody(body io.ReadCloser, factor int64, full error) io.ReadCloser {
	if r == nil {
		return body
	}
	return &chargedBody{body, r, factor, full}
}

// Read implements io.Reader.
func (b *chargedBody) Read(p []byte) (n int, err error) {
	b.request.receive(func() { n, err = b.ReadCloser.Read(p) })
	if n > 0 {
		b.request.holder.Moved()
	}
	if !b.request.Grow(int64(n) * b.factor) {
		return 0, b.full
	}
	return n, err
}
