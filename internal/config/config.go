// Package config reads the settings of the daemon from flags and BASILWAY_*
// environment variables.
package config

import (
	"net/netip"
	"net/url"
	"time"
)

// Config holds the settings of a daemon. The flag tag names the setting; its unit,
// default and allowed values are in the table of settings, which is also the help text.
type Config struct {
	// Instance names the daemon and its backend server.
	Instance string `flag:"instance" validate:"name"`
	// Zone is "region/zone".
	Zone string `flag:"zone" validate:"zone"`
	// Listen serves callers and operators. Port 0 lets the system choose one.
	Listen netip.AddrPort `flag:"listen"`
	// PeerListen serves other daemons; it equals Listen unless set.
	PeerListen netip.AddrPort `flag:"peer-listen"`
	// Advertise is where other daemons reach this one; PeerListen unless set. It has
	// port 0 if PeerListen has, and then takes the port that the listener got.
	Advertise netip.AddrPort `flag:"advertise"`
	// PlatformURL is the base URL of the platform's table and object store.
	PlatformURL *url.URL `flag:"platform-url"`
	// Seeds are peer addresses of other daemons, asked first at start.
	Seeds []netip.AddrPort `flag:"seeds" validate:"dive,reachable"`
	// PeerKeys authorize daemons to each other. The first one is sent, all are accepted.
	PeerKeys Keys `flag:"peer-keys" validate:"dive,key"`
	// OperatorKeys authorize operator calls; all are accepted.
	OperatorKeys Keys          `flag:"operator-keys" validate:"dive,key"`
	Lease        time.Duration `flag:"lease-duration" validate:"gte=500ms,lte=1m"`
	Renewal      time.Duration `flag:"renewal-interval" validate:"gte=50ms,lte=20s"`
	// Poll is the mean interval between reads of the feeds' head rows.
	Poll            time.Duration `flag:"poll-interval" validate:"gte=1s,lte=10m"`
	LogLevel        string        `flag:"log-level" validate:"oneof=debug info warn error"`
	LogFormat       string        `flag:"log-format" validate:"oneof=json console"`
	MaxPayloadBytes int           `flag:"max-payload-bytes" validate:"gte=1024,lte=16777216"`
	DrainTimeout    time.Duration `flag:"drain-timeout" validate:"gte=1s,lte=10m"`
	Metrics         bool          `flag:"metrics"`
	// RequestIDs is the number of recent request ids in memory.
	RequestIDs int `flag:"request-ids" validate:"gte=1000,lte=10000000"`
}
