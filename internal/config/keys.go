package config

import (
	"crypto/subtle"
	"net/netip"
)

// Secret is a shared key. It prints as a placeholder, so that it does not appear in logs.
type Secret string

// String returns a placeholder.
func (Secret) String() string { return "[redacted]" }

// GoString returns a placeholder for %#v.
func (Secret) GoString() string { return "[redacted]" }

// MarshalText returns a placeholder for JSON and other encoders.
func (Secret) MarshalText() ([]byte, error) { return []byte("[redacted]"), nil }

// Keys are the shared keys that are accepted. Accepting several makes it possible to rotate
// a key without an interruption.
type Keys []Secret

// Authorize reports whether a call from remote that presents key is allowed. If k is empty,
// only calls from loopback addresses are allowed.
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

// Current returns the key to present to peers, or "" if there is none.
func (k Keys) Current() string {
	if len(k) == 0 {
		return ""
	}
	return string(k[0])
}
