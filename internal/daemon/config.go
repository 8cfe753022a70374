package daemon

import (
	"time"

	"github.com/basilway/basilway/admission"
	"github.com/basilway/basilway/internal/config"
	"github.com/basilway/basilway/lease"
	"github.com/basilway/basilway/membership"
	"github.com/basilway/basilway/metastore"
)

// Config configures a Daemon.
type Config struct {
	// Instance is the name of the instance; it is unique in the cluster.
	Instance string
	// Zone is the availability zone, written "region/zone".
	Zone string
	// Listen is the address for callers, operators and the backend server, as host:port.
	Listen string
	// PeerListen is the address for other daemons; Listen if empty.
	PeerListen string
	// Address is the address at which other daemons reach this one; that of the listener
	// for other daemons if empty.
	Address string
	// Seeds are addresses of other daemons to contact while no members are known, so that
	// a daemon can start while the store is down.
	Seeds []string
	// PeerKeys and OperatorKeys authenticate other daemons and operators. Without them,
	// only calls from loopback are accepted.
	PeerKeys, OperatorKeys config.Keys
	// DrainTimeout bounds the wait for requests in flight during a graceful stop; those
	// left are aborted. 0 is the default.
	DrainTimeout time.Duration
	// MaxRequestIDs bounds the number of request ids that are remembered; 0 is the
	// default.
	MaxRequestIDs int
	// MaxPayloadBytes bounds payloads in addition to the catalogue's limits; 0 is no
	// bound.
	MaxPayloadBytes int
	// MaxFrameBytes bounds a message between daemons; 0 is the default. It must exceed
	// the largest payload by a few hundred bytes; handovers of busy units need several
	// MB.
	MaxFrameBytes int

	// MemoryBytes is the memory that the process may use; 0 if it is not known.
	MemoryBytes int64

	// DisableMetrics removes the endpoint /metrics.
	DisableMetrics bool

	Lease     lease.Config
	Gossip    membership.Config
	Admission admission.Config

	Table   metastore.Table
	Objects metastore.ObjectStore
}

const (
	// moveAwayTimeout is how long a stopping daemon accepts new requests while its units
	// move away, and how long a call of Drain waits for them.
	moveAwayTimeout = 3 * time.Second
	// defaultDrainTimeout is far above the default timeout of requests.
	defaultDrainTimeout = 30 * time.Second
	defaultFrameBytes   = 16 << 20
)

func (c Config) withDefaults() Config {
	if c.DrainTimeout <= 0 {
		c.DrainTimeout = defaultDrainTimeout
	}
	if c.MaxFrameBytes <= 0 {
		c.MaxFrameBytes = defaultFrameBytes
	}
	if c.Lease == (lease.Config{}) {
		c.Lease = lease.DefaultConfig()
	}
	if c.Gossip == (membership.Config{}) {
		c.Gossip = membership.DefaultConfig()
	}
	return c
}
