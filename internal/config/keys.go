package config

import (
	"crypto/subtle"
	"net/netip"
)

// Secret is a shared key. It prints as a placeholder, so that it cannot reach a log.
type Secret string

// String returns a placeholder.
func (Secret) String() string { return "[redacted]" }

// GoString returns a placeholder for %#v.
func (Secret) GoString() string { return "[redacted]" }

// MarshalText returns a placeholder for JSON and other encoders.
func (Secret) MarshalText() ([]byte, error) { return []byte("[redacted]"), nil }

// Keys are the shared keys that are accepted at one time. Several at once allow to
// replace a key without an interruption.
type Keys []Secret

// Authorize reports whether a call from remote that presents key is allowed. Without
// any keys, only calls from loopback addresses are.
func (k Keys) Authorize(key string, remote netip.Addr) bool {
	if len(k) == 0 {
		return remote.Unmap().IsLoopback()
	}
	ok := 0
	for _, s := range k {
		ok |= subtle.ConstantTimeCompare([]byte(s), []byte(key))
	}
	return ok == 1
}

// Current returns the key to present to others, or "" if there is none.
func (k Keys) Current() string {
	if len(k) == 0 {
		return ""
	}
	return string(k[0])
}
