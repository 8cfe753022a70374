package peer

import (
	"crypto/sha256"
	"crypto/subtle"
	"net"
	"net/http"
)

// The headers of the handshake.
const (
	headerKey      = "Basilway-Peer-Key"
	headerAddress  = "Basilway-Peer-Address"
	headerIdentity = "Basilway-Peer-Identity"
	// maxHeaderValue bounds address and identity.
	maxHeaderValue = 256
	subprotocol    = "basilway.peer.v1"
)

// authenticator decides which handshakes are accepted.
type authenticator struct{ sums [][sha256.Size]byte }

func newAuthenticator(keys []string) authenticator {
	var a authenticator
	for _, key := range keys {
		a.sums = append(a.sums, sha256.Sum256([]byte(key)))
	}
	return a
}

// allows compares with every key, in a time that does not depend on the outcome.
// Without keys it allows loopback addresses.
func (a authenticator) allows(r *http.Request) bool {
	if len(a.sums) == 0 {
		host, _, err := net.SplitHostPort(r.RemoteAddr)
		ip := net.ParseIP(host)
		return err == nil && ip != nil && ip.IsLoopback()
	}
	sum := sha256.Sum256([]byte(r.Header.Get(headerKey)))
	match := 0
	for _, want := range a.sums {
		match |= subtle.ConstantTimeCompare(sum[:], want[:])
	}
	return match == 1
}

// handshakeHeader returns what a Pool says about itself.
func handshakeHeader(cfg Config) http.Header {
	h := http.Header{}
	if len(cfg.Keys) > 0 {
		h.Set(headerKey, cfg.Keys[0])
	}
	h.Set(headerAddress, cfg.Address)
	h.Set(headerIdentity, cfg.Identity)
	return h
}

func infoOf(h http.Header, remote string) Info {
	return Info{Address: headerValue(h, headerAddress), Identity: headerValue(h, headerIdentity), Remote: remote}
}

func headerValue(h http.Header, name string) string {
	v := h.Get(name)
	return v[:min(len(v), maxHeaderValue)]
}
