package httpclient

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// checkNames returns an error if the name of a field is none that HTTP allows. net/http accepts names with blanks, and does
// not find the fields that delimit the body under such a name. Trailers that were announced and not sent have no values.
func checkNames(h http.Header) error {
	for name, values := range h {
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("field name %q", name)
		}
	}
	return nil
}
