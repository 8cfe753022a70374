package inputlimit

import (
	"io"
	"net/http"
)

// Charge says how the body of a request is accounted for while it is read.
type Charge struct {
	// Factor is what a byte costs.
	Factor int64
	// Full is the error of reads once there is no room.
	Full error
}

// ChargeBody accounts for what is read of a request's body until the request ends, for handlers that read
// bodies whole by themselves.
func ChargeBody(w http.ResponseWriter, req *http.Request, charge Charge) {
	if account := FromContext(req.Context()); account != nil {
		req.Body = &chargedBody{body: req.Body, request: account, charge: charge, w: w, http1: req.ProtoMajor == 1}
	}
}

// chargedBody is a body that is accounted for while it is read.
type chargedBody struct {
	body    io.ReadCloser
	request *Request
	charge  Charge
	w       http.ResponseWriter
	http1   bool
	// failed is the error after which nothing more is read.
	failed error
}

// Read implements io.Reader.
func (b *chargedBody) Read(p []byte) (n int, err error) {
	if b.failed != nil {
		return 0, b.failed
	}
	b.request.receive(func() { n, err = b.body.Read(p) })
	if n > 0 {
		b.request.holder.Moved()
	}
	if !b.request.Grow(int64(n) * b.charge.Factor) {
		return 0, b.fail(b.charge.Full)
	}
	return n, err
}

// fail says that the rest of the body is not read, so that the connection can carry no other request.
func (b *chargedBody) fail(err error) error {
	b.failed = err
	if b.http1 {
		b.w.Header().Set("Connection", "close")
	}
	return err
}

// Close implements io.Closer. http.Server awaits a part of what was not read, so the connection may be
// closed meanwhile. After a failure it does that once the request has been answered.
func (b *chargedBody) Close() (err error) {
	if b.failed == nil {
		b.request.receive(func() { err = b.body.Close() })
	}
	return err
}
