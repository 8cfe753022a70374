package readahead

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"slices"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/basilway/basilway/internal/inputlimit"
)

// capture reads requests from a connection and keeps their bytes as received.
type capture struct {
	raw    net.Conn
	reader *bufio.Reader
	// lastMethod is the method of the last request; empty before the first.
	lastMethod string
	// received are the bytes read from the connection that belong to no finished request.
	received []byte

	holder *inputlimit.Holder
	// reading is set while a request is read. request is its account, head its header, and noRoom is set
	// if there was no room for what was received last.
	reading bool
	request *inputlimit.Request
	head    inputlimit.HeadMeter
	noRoom  bool
	// maxHeader bounds the bytes of a header that are looked at.
	maxHeader int
	// nextPiece is the number of received bytes at which the client has longer for the rest of a body.
	nextPiece int
	// setReadDeadline sets the read deadline of the connection.
	setReadDeadline func(time.Time)
}

func newCapture(raw net.Conn, holder *inputlimit.Holder, maxHeader int, setReadDeadline func(time.Time)) *capture {
	c := &capture{raw: raw, holder: holder, maxHeader: maxHeader, setReadDeadline: setReadDeadline}
	c.reader = bufio.NewReaderSize(captureReader{c}, readBuffer)
	return c
}

// captureReader is the source of a capture's bufio.Reader.
type captureReader struct{ *capture }

// Read implements io.Reader.
func (r captureReader) Read(p []byte) (int, error) {
	switch {
	case r.noRoom:
		return 0, errNoRoom
	case len(r.received) > maxBufferedRequest || r.reading && !r.head.Done() && r.head.Bytes() > r.maxHeader:
		return 0, errTooLarge
	case r.reading && r.head.Done() && len(r.received) >= r.nextPiece:
		r.nextPiece = len(r.received) + inputlimit.BodyPiece
		r.setReadDeadline(r.holder.BodyDeadline())
	}
	n, err := r.raw.Read(p)
	r.received = append(r.received, p[:n]...)
	if n > 0 {
		r.holder.Moved()
	}
	if r.reading {
		r.noRoom = !r.request.Grow(r.cost(p[:n]))
	}
	return n, err
}

// receivedCost is what a received byte costs: its room in a buffer that grows.
const receivedCost = 3

// cost returns what further bytes of the request cost.
func (c *capture) cost(p []byte) int64 { return c.head.Add(p) + int64(len(p))*receivedCost }

// begin opens the account of the next request, some of which has been received.
func (c *capture) begin() {
	c.reading, c.request, c.head, c.nextPiece = true, c.holder.NewRequest(), inputlimit.HeadMeter{}, 0
	c.noRoom = !c.request.Grow(c.cost(c.received))
}

// take returns the account of the request that has been read, and whether there was room for all of it.
func (c *capture) take() (request *inputlimit.Request, ok bool) {
	request, ok = c.request, !c.noRoom
	request.SetHead(c.head)
	c.reading, c.request, c.noRoom = false, nil, false
	return request, ok
}

// minRequestBytes is what is awaited before a further request is parsed, as in http.Server, so
// that a stray line end behind a body is judged together with what follows it.
const minRequestBytes = 4

// awaitRequest waits for the first bytes of a request. Like http.Server, it skips line ends
// behind a POST request, which old clients send (RFC 9112, section 2.2).
func (c *capture) awaitRequest() error {
	if c.lastMethod == "" {
		_, err := c.reader.Peek(1)
		return err
	}
	first, err := c.reader.Peek(minRequestBytes)
	if err != nil || c.lastMethod != http.MethodPost {
		return err
	}
	skipped := len(first) - len(bytes.TrimLeft(first, "\r\n"))
	c.received = c.received[skipped:]
	_, err = c.reader.Discard(skipped)
	return err
}

// next reads a request with its body and returns its bytes; headerRead is called between the
// header and the body. On errors of the connection, err is set. If the request is not one that
// can be read ahead, delimited is false and rest returns its bytes.
func (c *capture) next(headerRead func()) (request []byte, delimited bool, err error) {
	r, err := http.ReadRequest(c.reader)
	headerRead()
	if errors.Is(err, errNoRoom) {
		return nil, false, err
	}
	if err == nil && !c.mayDelimit(r) {
		return nil, false, nil
	}
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}
	if err != nil {
		return nil, false, connectionError(err)
	}
	c.lastMethod = r.Method
	size := len(c.received) - c.reader.Buffered()
	request = c.received[:size:size]
	c.received = append([]byte(nil), c.received[size:]...)
	return request, true, nil
}

// mayDelimit reports whether the request ends where http.ReadRequest says, whatever the
// handler does: no protocol switch, no interim response that the client waits for. A body is
// awaited only behind a header that http.Server does not reject at once.
func (c *capture) mayDelimit(r *http.Request) bool {
	if r.ProtoMajor != 1 || r.ProtoMinor != 1 || r.Method == http.MethodConnect ||
		r.Header.Get("Expect") != "" || r.Header.Get("Upgrade") != "" || r.ContentLength > maxBufferedRequest {
		return false
	}
	return r.ContentLength == 0 || validHeader(c.received)
}

// validHeader reports whether a header is one that http.Server accepts.
func validHeader(received []byte) bool {
	reader := textproto.NewReader(bufio.NewReader(bytes.NewReader(received)))
	if _, err := reader.ReadLine(); err != nil {
		return false
	}
	h, err := reader.ReadMIMEHeader()
	if err != nil || len(h["Host"]) != 1 || !httpguts.ValidHostHeader(h["Host"][0]) {
		return false
	}
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) || slices.ContainsFunc(values, func(v string) bool { return !httpguts.ValidHeaderFieldValue(v) }) {
			return false
		}
	}
	return true
}

// connectionError returns err if the connection failed, and nil if what was received is not a
// request that can be read ahead.
func connectionError(err error) error {
	// Not net.Error: a malformed URL gives an error that implements it.
	var opErr *net.OpError
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &opErr) {
		return err
	}
	return nil
}

// restConn returns the rest of the connection, from the bytes that were received and belong to no request
// returned by next.
func (c *capture) restConn(tcp *net.TCPConn) *inputlimit.Conn {
	request, _ := c.take()
	return inputlimit.NewRestConn(tcp, c.holder, request, c.head, c.received)
}
