// Package httpclient sends HTTP/1.1 requests over pooled connections and reports for each
// failure whether any byte of the request was sent. Unlike net/http's client it never
// retries a request by itself, matches each response to its request by an id, and does not
// reuse a connection on which anything unexpected happened.
package httpclient

import (
	"io"
	"net/http"
)

// Exchange is one request.
type Exchange struct {
	Method string
	// URI is the request target as received.
	URI  string
	Host string
	// Header is sent unchanged; it does not contain Host, Content-Length and
	// Transfer-Encoding.
	Header http.Header
	// Body is sent with its length. It may be sent again in another Exchange.
	Body []byte
	// Stream follows Body if not nil; it is read once. StreamLength is its length in bytes,
	// or -1 for chunked encoding.
	Stream       io.Reader
	StreamLength int64
	// IDHeader names the header that a response repeats, and ID is its expected value.
	// Responses with another value are discarded. An empty IDHeader disables the check.
	IDHeader, ID string
	// Count, if not nil, is called with the bytes of the request that were written and those of
	// the response that were read, from several goroutines.
	Count func(written, read int)
}
