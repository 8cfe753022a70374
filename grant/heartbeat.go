// Package grant decides which keys the backend server of a daemon may hold. Tracker does no
// I/O and reads no clock: it takes heartbeats, the daemon's view of the key table, the end of
// the daemon's own lease and the time, and returns replies and the moves that can be
// completed.
package grant

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/basilway/basilway/keyrange"
)

// State is the state that a backend server reports in its heartbeats.
type State uint8

const (
	// Ready backend servers take requests.
	Ready State = iota
	// Draining backend servers are about to shut down.
	Draining
)

// Hold is a span that a backend server holds or still processes requests for.
type Hold struct {
	keyrange.Span
	Fence uint64
}

// Release is a span that a backend server no longer holds.
type Release struct {
	keyrange.Span
	// Handover is a token with which the next owner takes the keys over with a warm state.
	Handover string
}

// Heartbeat is a decoded heartbeat of a backend server.
type Heartbeat struct {
	ID string
	// StartedMS is the start time of this incarnation in Unix milliseconds, by its own clock.
	StartedMS int64
	Address   string
	Service   string
	Software  string
	Zone      string
	Slots     int
	State     State
	// Sequence increases with each heartbeat of an incarnation.
	Sequence uint64
	// WarmUpLeft is how much longer the backend server is expected to be slow after its start.
	WarmUpLeft time.Duration
	Holds      []Hold
	Released   []Release
}

// Incarnation returns an identifier of this incarnation of the backend server, made of ID and
// StartedMS, because a backend server may use the same ID again after a restart.
func (h Heartbeat) Incarnation() string { return fmt.Sprintf("%s@%d", h.ID, h.StartedMS) }

// IncarnationID returns the ID part of an identifier returned by Heartbeat.Incarnation.
func IncarnationID(incarnation string) string {
	id, _, _ := strings.Cut(incarnation, "@")
	return id
}

// startedMS returns the start time in an identifier returned by Heartbeat.Incarnation; 0 if it states none.
func startedMS(incarnation string) int64 {
	_, started, _ := strings.Cut(incarnation, "@")
	ms, err := strconv.ParseInt(started, 10, 64)
	if err != nil {
		return 0
	}
	return ms
}
