// Package httpclient sends HTTP/1.1 requests over pooled connections and says of each
// failure whether any byte of the request was sent. Unlike net/http's client it never
// repeats a request by itself, matches each answer to its request by an id, and does not
// use a connection again after anything unexpected on it.
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
	// Header is sent as it is; Host, Content-Length and Transfer-Encoding are not in it.
	Header http.Header
	// Body is sent with its length. It may be sent again in another Exchange.
	Body []byte
	// Stream follows Body if not nil; it is read once. StreamLength is its length, or -1
	// for chunks.
	Stream       io.Reader
	StreamLength int64
	// IDHeader names the header that answers repeat, and ID is its value. Answers with
	// another value are discarded. An empty IDHeader turns the check off.
	IDHeader, ID string
}
