package backend

import (
	"bytes"
	"io"
	"net/http"

	"github.com/basilway/basilway/internal/httpclient"
)

// doer sends the requests of a connect client. It copies the body to a bytes.Reader: the
// transport writes the header with a separate system call unless it knows that the body is
// in memory, and it does not recognize the type of a connect request's body. Redirects are
// not followed, so a request reaches no other address.
type doer struct{ transport *http.Transport }

// Do implements connect.HTTPClient.
func (d doer) Do(req *http.Request) (*http.Response, error) {
	if req.Body != nil && req.ContentLength > 0 {
		body := make([]byte, req.ContentLength)
		_, err := io.ReadFull(req.Body, body)
		_ = req.Body.Close()
		if err != nil {
			return nil, err
		}
		req.Body = io.NopCloser(bytes.NewReader(body))
		req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
	}
	return httpclient.Transport{Base: d.transport}.RoundTrip(req)
}
