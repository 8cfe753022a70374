package grant

import (
	"time"

	"github.com/basilway/basilway/keyrange"
)

// Grant is a span that a backend server may hold.
type Grant struct {
	keyrange.Span
	Fence    uint64
	Handover string
}

// Reply answers a heartbeat.
type Reply struct {
	// Renew is false if the answer says nothing about keys; holds then run out.
	Renew  bool
	Grants []Grant
	// Hold is how long the grants last, from when the heartbeat was sent.
	Hold time.Duration
}

// Completed is a planned move whose keys the backend server no longer holds.
type Completed struct {
	keyrange.Span
	Fence    uint64
	Handover string
}
