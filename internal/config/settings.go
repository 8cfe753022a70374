package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// setting describes a flag and its environment variable.
type setting struct {
	flag string
	// defaultValue is the default in the syntax of the flag.
	defaultValue string
	// help is the help text, with the unit.
	help string
	// allowed describes the valid values.
	allowed string
	// secret hides the value in error texts.
	secret bool
	parse  func(c *Config, text string) error
}

const (
	allowedName    = "1 to 63 of a-z, 0-9, '.', '_' and '-', beginning with a letter or digit"
	allowedAddress = "IP:port, such as 127.0.0.1:7400 or [::1]:7400"
	allowedPeer    = "IP:port, with an IP other than 0.0.0.0 and [::] and a port other than 0"
	allowedKeys    = "keys of 16 to 256 letters, digits and punctuation marks, separated by commas"
)

// settings lists all settings in the order of the help text.
var settings = []setting{
	{flag: "instance", help: "name of this instance; required", allowed: allowedName,
		parse: func(c *Config, s string) error { c.Instance = s; return nil }},
	{flag: "zone", help: "availability zone of this instance; required",
		allowed: "region/zone, each " + allowedName,
		parse:   func(c *Config, s string) error { c.Zone = s; return nil }},
	{flag: "listen", defaultValue: "127.0.0.1:7400", help: "address for callers and operators", allowed: allowedAddress,
		parse: func(c *Config, s string) error { return parseAddress(&c.Listen, s) }},
	{flag: "peer-listen", help: "address for other daemons; the value of --listen if empty", allowed: allowedAddress,
		parse: func(c *Config, s string) error { return parseAddress(&c.PeerListen, s) }},
	{flag: "advertise", help: "address that other daemons use to reach this one; the value of --peer-listen if empty",
		allowed: allowedPeer + "; required if --peer-listen is on 0.0.0.0 or [::]",
		parse:   func(c *Config, s string) error { return parseAddress(&c.Advertise, s) }},
	{flag: "platform-url", help: "base URL of the platform's table and object store; required",
		allowed: "http://host:port or https://host:port, optionally with a path",
		parse:   func(c *Config, s string) (err error) { c.PlatformURL, err = parseURL(s); return err }},
	{flag: "seeds", help: "peer addresses of other daemons, separated by commas; they are asked before the platform at start",
		allowed: "a list of " + allowedPeer + "; only loopback addresses without --peer-keys",
		parse:   func(c *Config, s string) error { return parseAddresses(&c.Seeds, s) }},
	{flag: "peer-keys", secret: true, allowed: allowedKeys,
		help:  "shared keys of the daemons, separated by commas: the first is sent, all are accepted; if empty, peer calls are accepted from loopback addresses only",
		parse: func(c *Config, s string) error { c.PeerKeys = parseKeys(s); return nil }},
	{flag: "operator-keys", secret: true, allowed: allowedKeys,
		help:  "operator keys, separated by commas, all accepted; if empty, operator calls are accepted from loopback addresses only",
		parse: func(c *Config, s string) error { c.OperatorKeys = parseKeys(s); return nil }},
	{flag: "lease-duration", defaultValue: "1.5s", allowed: "500ms to 1m, the same on all daemons",
		help:  "duration of a granted lease; shorter detects a lost daemon sooner, longer tolerates longer pauses",
		parse: func(c *Config, s string) error { return parseDuration(&c.Lease, s) }},
	{flag: "renewal-interval", defaultValue: "400ms", allowed: "50ms to 20s, at most a third of --lease-duration",
		help:  "time between lease renewals; shorter tolerates more lost renewals and sends more messages",
		parse: func(c *Config, s string) error { return parseDuration(&c.Renewal, s) }},
	{flag: "poll-interval", defaultValue: "30s", allowed: "1s to 10m",
		help:  "mean time between polls of the catalogue and cluster feeds; shorter finds missed changes sooner and reads the platform more often",
		parse: func(c *Config, s string) error { return parseDuration(&c.Poll, s) }},
	{flag: "log-level", defaultValue: "info", help: "minimum level of log lines", allowed: "debug, info, warn or error",
		parse: func(c *Config, s string) error { c.LogLevel = s; return nil }},
	{flag: "log-format", defaultValue: "json", help: "format of log lines", allowed: "json or console",
		parse: func(c *Config, s string) error { c.LogFormat = s; return nil }},
	{flag: "max-payload-bytes", defaultValue: "1048576", allowed: "1024 to 16777216",
		help:  "largest payload of a request or response in bytes; larger takes more memory for each request in flight",
		parse: func(c *Config, s string) error { return parseInt(&c.MaxPayloadBytes, s) }},
	{flag: "drain-timeout", defaultValue: "30s", allowed: "1s to 10m",
		help:  "maximum time to hand over all ranges and finish requests at a planned stop",
		parse: func(c *Config, s string) error { return parseDuration(&c.DrainTimeout, s) }},
	{flag: "metrics", defaultValue: "true", help: "serve metrics on the address of --listen", allowed: "true or false",
		parse: func(c *Config, s string) (err error) { c.Metrics, err = strconv.ParseBool(s); return err }},
	{flag: "request-ids", defaultValue: "50000", allowed: "1000 to 10000000",
		help:  "number of recent request ids kept in memory; with fewer, repeated requests get the verdict may_have_run sooner",
		parse: func(c *Config, s string) error { return parseInt(&c.RequestIDs, s) }},
	{flag: "memory-mb", defaultValue: "0", allowed: "0, or 48 to 1048576",
		help:  "memory of the process in MB, from which follows what callers may make it hold; 0: not known, 512 is assumed for that",
		parse: func(c *Config, s string) error { return parseInt(&c.MemoryMB, s) }},
}

// env returns the name of the environment variable.
func (s setting) env() string {
	return envPrefix + "_" + strings.ToUpper(envReplacer.Replace(s.flag))
}

// usage returns the help text. The flag library adds the default.
func (s setting) usage() string {
	return fmt.Sprintf("%s; allowed: %s [%s]", s.help, s.allowed, s.env())
}

func parseAddress(out *netip.AddrPort, text string) error {
	a, err := netip.ParseAddrPort(text)
	if err == nil {
		*out = a
	}
	return err
}

func parseAddresses(out *[]netip.AddrPort, text string) error {
	var list []netip.AddrPort
	for _, part := range splitList(text) {
		a, err := netip.ParseAddrPort(part)
		if err != nil {
			return err
		}
		list = append(list, a)
	}
	*out = list
	return nil
}

func parseURL(text string) (*url.URL, error) {
	u, err := url.Parse(text)
	if err != nil {
		return nil, err
	}
	if (u.Scheme != "http" && u.Scheme != "https") || u.Hostname() == "" || u.User != nil ||
		u.RawQuery != "" || u.Fragment != "" {
		return nil, fmt.Errorf("not a base URL")
	}
	return u, nil
}

func parseDuration(out *time.Duration, text string) error {
	d, err := time.ParseDuration(text)
	if err == nil {
		*out = d
	}
	return err
}

func parseInt(out *int, text string) error {
	n, err := strconv.Atoi(text)
	if err == nil {
		*out = n
	}
	return err
}

func parseKeys(text string) (keys Keys) {
	for _, part := range splitList(text) {
		keys = append(keys, Secret(part))
	}
	return keys
}

// splitList splits text at commas and trims spaces. An empty text gives an empty list.
func splitList(text string) []string {
	if text == "" {
		return nil
	}
	parts := strings.Split(text, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}
