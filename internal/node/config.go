// Package node runs the HTTP router of one instance: it takes requests of the instance's
// clients, finds the backend server that may run each, and sends it there through the node
// beside that server. Decisions are in pure packages (httproute, keyrange, grant,
// waitqueue, placement, quarantine, retry); this package has the goroutines, clocks and
// connections.
package node

import (
	"time"

	"github.com/basilway/basilway/metastore"
)

// Config describes one node.
type Config struct {
	// Instance is the unique name of the machine, Zone its availability zone.
	Instance, Zone string
	// Service is the service of the backend server beside the node.
	Service string
	// BackendAddress is where the backend server listens.
	BackendAddress string
	// ClientAddress takes requests of the instance's clients, ReadyAddress answers
	// readiness checks, HeartbeatAddress takes the backend server's announcements.
	ClientAddress, ReadyAddress, HeartbeatAddress string
	// PeerAddress is where other nodes reach this one.
	PeerAddress string
	// LinkBitsPerSecond is the rate of the instance's link; 0 if it is not known, and then
	// large answers are not paced.
	LinkBitsPerSecond float64
	// MaxDescriptors is the number of files and connections that the process may have open; 0
	// if it is not known.
	MaxDescriptors int
	// MetricsAddress serves metrics at /metrics; empty turns them off.
	MetricsAddress string
	// Store keeps what must outlast the process.
	Store metastore.WatchedTable
	// Protocol decodes what clients, backend servers and operators send.
	Protocol Protocol
	// DroppedLines counts log lines that were dropped because the output took none; nil if
	// it is not counted.
	DroppedLines func() uint64
	// Bounds are limits of the platform that bound the node's own timing.
	Bounds Bounds
}

// Bounds are promises that the platform's operators expect to be kept.
type Bounds struct {
	// DrainTimeout is how long after the acknowledgement of its leave a backend server
	// may get requests.
	DrainTimeout time.Duration
	// StopTimeout is how long a process may run after it was told to stop.
	StopTimeout time.Duration
	// MaxHold is the longest hold that a backend server accepts.
	MaxHold time.Duration
	// RetryShare, RetryWindow and RetryExtra bound the repeated sends to a service over
	// all nodes: in each window, at most the share of its requests, plus the extra ones.
	RetryShare  float64
	RetryWindow time.Duration
	RetryExtra  int
}
