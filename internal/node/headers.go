package node

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/basilway/basilway/internal/httpclient"
)

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func removeConnectionHeaders(h http.Header) {
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		h.Del(name)
	}
}

// headerSize returns the bytes of a request's first line and header fields on the wire, as
// HTTP/1.1 writes them.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(" ") + len(r.RequestURI) + len(" HTTP/1.1\r\n") + len("Host: \r\n") + len(r.Host) + len("\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(": ") + len(value) + len("\r\n")
		}
	}
	return size
}

// maxBufferedBody is the size in bytes up to which the body of a request is kept, so that
// it can be sent again. Longer ones are streamed.
const maxBufferedBody = 1 << 20

// exchange returns the request as it is to be sent on.
func (n *Node) exchange(r *http.Request, body io.Reader) (httpclient.Exchange, error) {
	h := r.Header
	removeConnectionHeaders(h)
	h.Del("Content-Length")
	e := httpclient.Exchange{
		Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: h,
		IDHeader: n.headers.RequestID, ID: h.Get(n.headers.RequestID),
	}
	if r.ContentLength == 0 {
		return e, nil
	}
	buffered, err := io.ReadAll(io.LimitReader(body, maxBufferedBody))
	if err != nil {
		return e, err
	}
	e.Body = buffered
	if len(buffered) < maxBufferedBody {
		return e, nil
	}
	e.Stream, e.StreamLength = body, -1
	if r.ContentLength > 0 {
		e.StreamLength = r.ContentLength - maxBufferedBody
	}
	return e, nil
}

// writeHead starts an answer with the backend server's status and headers.
func writeHead(w http.ResponseWriter, resp *http.Response) {
	removeConnectionHeaders(resp.Header)
	h := w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	if resp.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	w.WriteHeader(resp.StatusCode)
}

// isTooLarge reports whether a client's body is over the limit.
func isTooLarge(err error) bool {
	var tooLarge *http.MaxBytesError
	return errors.As(err, &tooLarge)
}
