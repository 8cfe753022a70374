// Package httproute selects the service for an HTTP request and tells whether the request
// may be repeated. A Table is immutable and safe for concurrent use.
package httproute

import "fmt"

// Kind tells whether a request may be repeated.
type Kind uint8

const (
	// NonIdempotent requests run at most once. It is the zero value, so that a request
	// of unknown kind is never repeated.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Download requests are idempotent and have large responses.
	Download
)

// Repeatable reports whether a request may run more than once.
func (k Kind) Repeatable() bool { return k != NonIdempotent }

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Download:
		return "download"
	default:
		return "non_idempotent"
	}
}

// ParseKind returns the kind with a name that String returns.
func ParseKind(name string) (Kind, error) {
	for _, k := range []Kind{NonIdempotent, Idempotent, Download} {
		if k.String() == name {
			return k, nil
		}
	}
	return NonIdempotent, fmt.Errorf("unknown kind %q; want idempotent, non_idempotent or download", name)
}
