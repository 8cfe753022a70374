package httpclient

import (
	"errors"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// errNoEnd means that a response has neither a length nor chunks.
var errNoEnd = errors.New("the answer has no length and is not in chunks")

// Transport is an http.RoundTripper for clients of other libraries. It refuses responses that a Pool refuses for their heads, and
// those that end with their connection: the transport of net/http may take the part before a reset as the whole.
type Transport struct{ Base http.RoundTripper }

// RoundTrip implements http.RoundTripper. If it refuses a response, the request may have run.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error { return checkNames(http.Header(header)) },
	})
	resp, err := t.Base.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	err = checkNames(resp.Header)
	if resp.ProtoMajor == 1 && endsWithConnection(resp) && req.Method != http.MethodHead {
		err = errors.Join(err, errNoEnd)
	}
	if err != nil {
		// The refusal is the error that matters.
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}
