// Package grant decides which keys the backend server beside a daemon may hold. Holder is
// pure: it takes heartbeats, the daemon's view of the key table, the end of the daemon's
// own lease and the time, and returns the answer and the keys whose move can be completed.
package grant

import (
	"fmt"
	"strings"
	"time"

	"github.com/basilway/basilway/keyrange"
)

// State is what a backend server says about itself.
type State uint8

const (
	// Ready backend servers take requests.
	Ready State = iota
	// Draining backend servers are about to leave.
	Draining
)

// Hold is a span that a backend server holds or still works on.
type Hold struct {
	keyrange.Span
	Fence uint64
}

// Release is a span that a backend server no longer holds.
type Release struct {
	keyrange.Span
	// Handover lets the next owner take the keys over warm.
	Handover string
}

// Heartbeat is a decoded announcement of a backend server.
type Heartbeat struct {
	ID string
	// Born is the start of this incarnation in Unix milliseconds by its own clock.
	Born     int64
	Address  string
	Service  string
	Software string
	Zone     string
	Slots    int
	State    State
	// Sequence grows with each heartbeat of an incarnation.
	Sequence uint64
	// Cold is how much longer the backend server is slow after its start.
	Cold     time.Duration
	Holds    []Hold
	Released []Release
}

// Incarnation names the start of the backend server that sent the heartbeat. An ID may
// be used again after a restart.
func (h Heartbeat) Incarnation() string { return fmt.Sprintf("%s@%d", h.ID, h.Born) }

// IncarnationID returns the ID of an incarnation.
func IncarnationID(incarnation string) string {
	id, _, _ := strings.Cut(incarnation, "@")
	return id
}
