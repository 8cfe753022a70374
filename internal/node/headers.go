package node

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/basilway/basilway/internal/httpclient"
	"github.com/basilway/basilway/internal/inputlimit"
)

// hopByHopHeaders apply to one connection only and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func removeHopByHopHeaders(h http.Header) {
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// headerSize returns the size in bytes of a request's request line and header fields as the client
// sent them or, if that is not known, as they are usually written.
func headerSize(r *http.Request) int {
	if sent := inputlimit.FromContext(r.Context()).HeadBytes(); sent > 0 {
		return sent
	}
	size := len(r.Method) + len(" ") + len(r.RequestURI) + len(" HTTP/1.1\r\n") + len("Host: \r\n") + len(r.Host) + len("\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(": ") + len(value) + len("\r\n")
		}
	}
	return size
}

// maxBufferedBody is the size in bytes up to which a request body is buffered, so that it can
// be sent again. Longer ones are streamed.
const maxBufferedBody = 1 << 20

// newExchange returns the request to forward. It removes the hop-by-hop headers from r.
func (n *Node) newExchange(r *http.Request, body io.Reader) (httpclient.Exchange, error) {
	h := r.Header
	removeHopByHopHeaders(h)
	h.Del("Content-Length")
	e := httpclient.Exchange{
		Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: h,
		IDHeader: n.headers.RequestID, ID: h.Get(n.headers.RequestID),
	}
	if r.ContentLength == 0 {
		return e, nil
	}
	buffered, err := inputlimit.FromContext(r.Context()).ReadAll(body, maxBufferedBody, 1)
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

// writeHeader writes the status and headers of the backend server's response to w. It removes
// the hop-by-hop headers from resp.
func writeHeader(w http.ResponseWriter, resp *http.Response) {
	removeHopByHopHeaders(resp.Header)
	h := w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// A nil entry keeps net/http from adding a guessed type.
		h["Content-Type"] = nil
	}
	if resp.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	w.WriteHeader(resp.StatusCode)
}

// isBodyTooLarge reports whether err means that a client's body exceeds the limit.
func isBodyTooLarge(err error) bool {
	var tooLarge *http.MaxBytesError
	return errors.As(err, &tooLarge)
}
