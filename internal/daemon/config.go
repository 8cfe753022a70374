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
	// Address is where other daemons reach this one; the listener's if empty.
	Address string
	// Seeds are addresses of other daemons, for a start while the store is down.
	Seeds []string
	// PeerKeys and OperatorKeys are accepted from other daemons and from operators.
	// Without them only calls from loopback are.
	PeerKeys, OperatorKeys config.Keys
	// DrainTimeout bounds a graceful shutdown. Requests still in flight are cut then.
	DrainTimeout time.Duration
	// MaxRequestIDs bounds the memory of request ids; 0 is the default.
	MaxRequestIDs int
	// MaxPayloadBytes bounds payloads, whatever the catalogue allows; 0 is no bound.
	MaxPayloadBytes int
	// MaxFrameBytes bounds a message between daemons. It must exceed the largest
	// payload by some hundred bytes; hand-overs of busy units need several MB.
	MaxFrameBytes int

	// DisableMetrics leaves out /metrics.
	DisableMetrics bool

	Lease     lease.Config
	Spread    membership.Config
	Admission admission.Config

	Table   metastore.Table
	Objects metastore.ObjectStore
}

const (
	// leaveAfter is how long a daemon that is stopping still takes new requests while
	// its units move away.
	leaveAfter = 3 * time.Second
	// defaultDrainTimeout exceeds the default timeout of requests by far.
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
	if c.Spread == (membership.Config{}) {
		c.Spread = membership.DefaultConfig()
	}
	return c
}
