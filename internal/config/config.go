// Package config reads the settings of the daemon from flags and BASILWAY_*
// environment variables.
package config

import (
	"net/netip"
	"net/url"
	"time"
)

// Config holds the settings of a daemon. The flag tag is the name of the setting; its unit,
// default and allowed values are in settings, from which the help text is made.
type Config struct {
	// Instance is the name of the instance; it is unique in the cluster.
	Instance string `flag:"instance" validate:"name"`
	// Zone is the availability zone, as "region/zone".
	Zone string `flag:"zone" validate:"zone"`
	// Listen is the address for callers and operators. With port 0 the system chooses a port.
	Listen netip.AddrPort `flag:"listen"`
	// PeerListen is the address for other daemons; it defaults to Listen.
	PeerListen netip.AddrPort `flag:"peer-listen"`
	// Advertise is the address at which other daemons reach this one; it defaults to
	// PeerListen. Its port is 0 only if that of PeerListen is; other daemons then get the
	// port of the open listener.
	Advertise netip.AddrPort `flag:"advertise"`
	// PlatformURL is the base URL of the platform's table and object store.
	PlatformURL *url.URL `flag:"platform-url"`
	// Seeds are peer addresses of other daemons to contact while no members are known, so
	// that a daemon can start while the platform is down.
	Seeds []netip.AddrPort `flag:"seeds" validate:"dive,reachable"`
	// PeerKeys authenticate calls between daemons. The first one is sent, all are accepted.
	PeerKeys Keys `flag:"peer-keys" validate:"dive,key"`
	// OperatorKeys authenticate operator calls; all are accepted.
	OperatorKeys Keys          `flag:"operator-keys" validate:"dive,key"`
	Lease        time.Duration `flag:"lease-duration" validate:"gte=500ms,lte=1m"`
	Renewal      time.Duration `flag:"renewal-interval" validate:"gte=50ms,lte=20s"`
	// Poll is the mean interval between reads of the head rows of the feeds.
	Poll            time.Duration `flag:"poll-interval" validate:"gte=1s,lte=10m"`
	LogLevel        string        `flag:"log-level" validate:"oneof=debug info warn error"`
	LogFormat       string        `flag:"log-format" validate:"oneof=json console"`
	MaxPayloadBytes int           `flag:"max-payload-bytes" validate:"gte=1024,lte=16777216"`
	DrainTimeout    time.Duration `flag:"drain-timeout" validate:"gte=1s,lte=10m"`
	Metrics         bool          `flag:"metrics"`
	// RequestIDs is the number of recent request ids that are kept in memory.
	RequestIDs int `flag:"request-ids" validate:"gte=1000,lte=10000000"`
	// MemoryMB is the memory of the process; 0 if it is not known.
	MemoryMB int `flag:"memory-mb" validate:"eq=0|gte=48,lte=1048576"`
}
