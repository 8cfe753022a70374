package peer

import (
	"crypto/sha256"
	"crypto/subtle"
	"net"
	"net/http"
)

// Headers of the WebSocket handshake.
const (
	headerKey      = "Basilway-Peer-Key"
	headerAddress  = "Basilway-Peer-Address"
	headerIdentity = "Basilway-Peer-Identity"
	// maxHeaderValueBytes bounds the address and the identity; the rest is cut off.
	maxHeaderValueBytes = 256
	subprotocol         = "basilway.peer.v1"
)

// authenticator decides which handshakes are accepted.
type authenticator struct{ keyHashes [][sha256.Size]byte }

func newAuthenticator(keys []string) authenticator {
	var a authenticator
	for _, key := range keys {
		a.keyHashes = append(a.keyHashes, sha256.Sum256([]byte(key)))
	}
	return a
}

// allows reports whether the handshake r is accepted. It compares with every key in
// constant time, so that timing reveals nothing about the keys. Without configured keys
// it accepts only loopback addresses.
func (a authenticator) allows(r *http.Request) bool {
	if len(a.keyHashes) == 0 {
		host, _, err := net.SplitHostPort(r.RemoteAddr)
		ip := net.ParseIP(host)
		return err == nil && ip != nil && ip.IsLoopback()
	}
	sum := sha256.Sum256([]byte(r.Header.Get(headerKey)))
	match := 0
	for _, want := range a.keyHashes {
		match |= subtle.ConstantTimeCompare(sum[:], want[:])
	}
	return match == 1
}

// handshakeHeader returns the headers with which a Pool identifies itself to a peer.
func handshakeHeader(cfg Config) http.Header {
	h := http.Header{}
	if len(cfg.Keys) > 0 {
		h.Set(headerKey, cfg.Keys[0])
	}
	h.Set(headerAddress, cfg.Address)
	h.Set(headerIdentity, cfg.Identity)
	return h
}

func infoFromHeader(h http.Header, remote string) Info {
	return Info{Address: headerValue(h, headerAddress), Identity: headerValue(h, headerIdentity), Remote: remote}
}

func headerValue(h http.Header, name string) string {
	v := h.Get(name)
	return v[:min(len(v), maxHeaderValueBytes)]
}
