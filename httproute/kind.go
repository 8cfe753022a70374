// Package httproute decides to which service an HTTP request goes and how it may be
// treated. A Table is immutable and safe for concurrent use.
package httproute

import "fmt"

// Kind says what may be repeated.
type Kind uint8

const (
	// NonIdempotent requests run at most once. It is the zero value, so that a request
	// of unknown kind is never repeated.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Download is idempotent with large answers.
	Download
)

// Repeatable reports whether a request may run more than once.
func (k Kind) Repeatable() bool { return k != NonIdempotent }

// String returns the kind as it is written in logs and metrics.
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

// ParseKind reads what String returns.
func ParseKind(name string) (Kind, error) {
	for _, k := range []Kind{NonIdempotent, Idempotent, Download} {
		if k.String() == name {
			return k, nil
		}
	}
	return NonIdempotent, fmt.Errorf("kind %q; idempotent, non_idempotent or download is expected", name)
}
