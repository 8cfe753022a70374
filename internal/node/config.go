// Package node runs the HTTP router of one instance: it receives requests from the
// instance's clients, finds a backend server that may run each, and forwards it through the
// node beside that server. Decisions are made in pure packages (httproute, keyrange, grant,
// waitqueue, placement, quarantine, retry); this package has the goroutines, clocks and
// connections.
package node

import (
	"time"

	"github.com/basilway/basilway/metastore"
)

// Config describes one node.
type Config struct {
	// Instance is the unique name of this instance, Zone its availability zone.
	Instance, Zone string
	// Region is the region of this instance, and Zones the regions of availability zones by name,
	// for routes with AllowedRegions; empty if they are not known.
	Region string
	Zones  map[string]string
	// Service is the service of the backend server beside the node.
	Service string
	// BackendAddress is where the backend server listens.
	BackendAddress string
	// The node listens on ClientAddress for requests of the instance's clients, on
	// ReadyAddress for readiness checks and on HeartbeatAddress for the backend server's
	// announcements.
	ClientAddress, ReadyAddress, HeartbeatAddress string
	// PeerAddress is where other nodes reach this one.
	PeerAddress string
	// LinkBitsPerSecond is the rate of the instance's network link; 0 if unknown, and then
	// large responses are not paced.
	LinkBitsPerSecond float64
	// Cores is the processor share of the instance in cores; 0 if unknown. The planner role goes to
	// an instance with a large one.
	Cores float64
	// MaxDescriptors is how many connections the process may have open; 0 if unknown.
	MaxDescriptors int
	// MemoryBytes is the memory that the process may use; 0 if unknown.
	MemoryBytes int64
	// MetricsAddress serves metrics at /metrics; empty turns them off.
	MetricsAddress string
	// Store keeps the state that must survive a restart of the process.
	Store metastore.WatchedTable
	// Protocol decodes what clients, backend servers and operators send.
	Protocol Protocol
	// Now is the clock that leases and holds are measured with; nil for one that also counts the
	// time while the instance is suspended.
	Now func() time.Time
	// Bootstrap is set if the whole cluster starts for the first time, so that nothing can be
	// in force that the store does not show.
	Bootstrap bool
	// DroppedLines returns the number of log lines dropped because the output was blocked;
	// nil if they are not counted.
	DroppedLines func() uint64
	// LearnCapacity is set if the node learns how much load its backend server handles well, and
	// tells it to the request queue, the planner and other nodes.
	LearnCapacity bool
	// Bounds are the platform's limits on the node's timing and retries.
	Bounds Bounds
	// PreferZone keeps requests without a key on the backend servers of the node's availability
	// zone as long as one of them is expected to answer within the request's target. It is set
	// where bytes between availability zones matter.
	PreferZone bool
}

// Bounds are limits that the platform's operators expect the node to keep.
type Bounds struct {
	// DrainTimeout is how long a backend server may get requests after its leave was
	// acknowledged.
	DrainTimeout time.Duration
	// StopTimeout is how long the process may run after it was told to stop.
	StopTimeout time.Duration
	// MaxHold is the longest hold that a backend server accepts.
	MaxHold time.Duration
	// RetryShare, RetryWindow and RetryExtra bound the retries to a service over all nodes:
	// in each window, at most the share of its requests plus the extra ones.
	RetryShare  float64
	RetryWindow time.Duration
	RetryExtra  int
	// ColdOverage and ColdSlack bound the requests to a cold backend server: in any second, at
	// most ColdOverage times the rate that its service tolerates plus ColdSlack. A ColdOverage
	// of 0 means no bound.
	ColdOverage, ColdSlack float64
	// ConfigApply is how long after its confirmation a desired state must be in force at all nodes; 0 for the default of
	// 2 s. A node goes on with an older one for half of it.
	ConfigApply time.Duration
	// Evacuate is how long after an operator evacuated an availability zone its backend servers
	// may get requests; 0 if the deployment has no evacuations.
	Evacuate time.Duration
}

// drainPercent is the percentage of the drain timeout after which a leaving backend server
// gets no more requests. The rest is for requests in transit.
const drainPercent = 60

// leaveGrace is how long a backend server still gets requests after its leave became known.
func (b Bounds) leaveGrace() time.Duration { return b.DrainTimeout * drainPercent / 100 }
