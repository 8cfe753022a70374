package grant

import (
	"time"

	"github.com/basilway/basilway/keyrange"
)

// Grant allows a backend server to hold a span.
type Grant struct {
	keyrange.Span
	Fence    uint64
	Handover string
}

// Reply answers a heartbeat.
type Reply struct {
	// Renew is set if Grants and Hold apply. Otherwise the reply says nothing about
	// keys, and earlier grants run out.
	Renew  bool
	Grants []Grant
	// Hold is the duration of the grants, counted from when the heartbeat was sent.
	Hold time.Duration
	// Omitted is the number of grants that were left out because the reply would be too long.
	Omitted int
}

// CompletedMove is an open move that can be completed, because the backend server no longer
// holds its keys.
type CompletedMove struct {
	keyrange.Span
	Fence    uint64
	Handover string
}
