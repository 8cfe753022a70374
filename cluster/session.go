// Package cluster holds the replicated state of the cluster: members, the assignment of
// ranges and hot keys, and moves. A State depends only on the entries of the cluster feed,
// applied in order, so daemons at the same version have equal States.
package cluster

import (
	"fmt"
	"strconv"
	"strings"
)

// Session identifies one run of a daemon. A restart starts a new session.
type Session struct {
	Instance    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// IsZero reports whether s identifies no session.
func (s Session) IsZero() bool { return s.Instance == "" }

// String returns the session as "instance/incarnation" with the incarnation in hex.
func (s Session) String() string {
	return fmt.Sprintf("%s/%016x", s.Instance, s.Incarnation)
}

// Less orders sessions by instance, then incarnation.
func (s Session) Less(o Session) bool {
	if s.Instance != o.Instance {
		return s.Instance < o.Instance
	}
	return s.Incarnation < o.Incarnation
}

// ParseSession parses the result of Session.String.
func ParseSession(text string) (Session, error) {
	i := strings.LastIndexByte(text, '/')
	if i <= 0 {
		return Session{}, fmt.Errorf("session %q is not of the form instance/incarnation", text)
	}
	incarnation, err := strconv.ParseUint(text[i+1:], 16, 64)
	if err != nil {
		return Session{}, fmt.Errorf("session %q: %w", text, err)
	}
	return Session{Instance: text[:i], Incarnation: incarnation}, nil
}
