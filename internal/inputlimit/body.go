package inputlimit

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// Charge says how the body of a request is accounted for while it is read.
type Charge struct {
	// Factor is what a byte costs.
	Factor int64
	// Full is the error of reads once there is no room.
	Full error
	// Stalled returns the error of reads once BodyPiece bytes did not arrive within Config.BodyTimeout.
	Stalled func() error
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
	// received is the number of bytes that were read, awaited the number at which the time for the next
	// piece begins.
	received, awaited int
	// failed is the error after which nothing more is read.
	failed error
}

// Read implements io.Reader.
func (b *chargedBody) Read(p []byte) (n int, err error) {
	if b.failed != nil {
		return 0, b.failed
	}
	if b.received >= b.awaited {
		b.awaited = b.received + BodyPiece
		b.setDeadline(b.request.holder.BodyDeadline())
	}
	b.request.receive(func() { n, err = b.body.Read(p) })
	b.received += n
	if n > 0 {
		b.request.holder.Moved()
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return n, b.fail(b.charge.Stalled())
	case err != nil:
		b.setDeadline(time.Time{}) // a handler may run for longer
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
		b.setDeadline(b.request.holder.BodyDeadline())
		b.request.receive(func() { err = b.body.Close() })
		b.setDeadline(time.Time{})
	}
	return err
}

// setDeadline sets the read deadline of the connection by HTTP/1, of the stream by HTTP/2.
func (b *chargedBody) setDeadline(at time.Time) {
	_ = http.NewResponseController(b.w).SetReadDeadline(at) // fails only if the connection is closed
}
