package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// setting is one flag with its environment variable.
type setting struct {
	flag string
	// value is the default, in the form in which it is written.
	value string
	// about is the help text; it names the unit.
	about string
	// allowed says which values the setting takes.
	allowed string
	// secret values are not shown in faults.
	secret bool
	parse  func(c *Config, text string) error
}

const (
	allowedName    = "1 to 63 of a-z, 0-9, '.', '_' and '-', beginning with a letter or digit"
	allowedAddress = "IP:port, such as 127.0.0.1:7400 or [::1]:7400"
	allowedPeer    = "IP:port with an IP other than 0.0.0.0 and [::] and a port other than 0"
	allowedKeys    = "keys of 16 to 256 letters, digits and punctuation marks, separated by commas"
)

// settings lists all settings in the order of the help text.
var settings = []setting{
	{flag: "instance", about: "name of this instance; required", allowed: allowedName,
		parse: func(c *Config, s string) error { c.Instance = s; return nil }},
	{flag: "zone", about: "availability zone of this instance; required",
		allowed: "region/zone, each " + allowedName,
		parse:   func(c *Config, s string) error { c.Zone = s; return nil }},
	{flag: "listen", value: "127.0.0.1:7400", about: "address for callers and operators", allowed: allowedAddress,
		parse: func(c *Config, s string) error { return parseAddress(&c.Listen, s) }},
	{flag: "peer-listen", about: "address for other daemons; the value of --listen if empty", allowed: allowedAddress,
		parse: func(c *Config, s string) error { return parseAddress(&c.PeerListen, s) }},
	{flag: "advertise", about: "address at which other daemons reach this one; the value of --peer-listen if empty",
		allowed: allowedPeer + "; required if --peer-listen is on 0.0.0.0 or [::]",
		parse:   func(c *Config, s string) error { return parseAddress(&c.Advertise, s) }},
	{flag: "platform-url", about: "base URL of the platform's table and object store; required",
		allowed: "http://host:port or https://host:port, with a path or without",
		parse:   func(c *Config, s string) (err error) { c.PlatformURL, err = parseURL(s); return err }},
	{flag: "seeds", about: "peer addresses of other daemons, separated by commas; at start they are asked before the platform",
		allowed: "a list of " + allowedPeer + "; only loopback addresses without --peer-keys",
		parse:   func(c *Config, s string) error { return parseAddresses(&c.Seeds, s) }},
	{flag: "peer-keys", secret: true, allowed: allowedKeys,
		about: "keys between daemons, separated by commas: the first is sent, all are accepted; peer calls work on loopback only if empty",
		parse: func(c *Config, s string) error { c.PeerKeys = parseKeys(s); return nil }},
	{flag: "operator-keys", secret: true, allowed: allowedKeys,
		about: "keys for operators, separated by commas, all accepted; operator calls work on loopback only if empty",
		parse: func(c *Config, s string) error { c.OperatorKeys = parseKeys(s); return nil }},
	{flag: "lease-duration", value: "1.5s", allowed: "500ms to 1m, the same on all daemons",
		about: "time for which a granted lease lasts; shorter detects a loss sooner, longer tolerates longer pauses",
		parse: func(c *Config, s string) error { return parseDuration(&c.Lease, s) }},
	{flag: "renewal-interval", value: "400ms", allowed: "50ms to 20s, at most a third of --lease-duration",
		about: "time between lease renewals; shorter tolerates more lost renewals and sends more messages",
		parse: func(c *Config, s string) error { return parseDuration(&c.Renewal, s) }},
	{flag: "poll-interval", value: "30s", allowed: "1s to 10m",
		about: "mean time between polls of the catalogue and cluster feeds; shorter finds missed changes sooner and reads the platform more",
		parse: func(c *Config, s string) error { return parseDuration(&c.Poll, s) }},
	{flag: "log-level", value: "info", about: "least severe log level that is written", allowed: "debug, info, warn or error",
		parse: func(c *Config, s string) error { c.LogLevel = s; return nil }},
	{flag: "log-format", value: "json", about: "form of log lines", allowed: "json or console",
		parse: func(c *Config, s string) error { c.LogFormat = s; return nil }},
	{flag: "max-payload-bytes", value: "1048576", allowed: "1024 to 16777216",
		about: "largest payload of a request or an answer in bytes; larger takes more memory for each request in flight",
		parse: func(c *Config, s string) error { return parseInt(&c.MaxPayloadBytes, s) }},
	{flag: "drain-timeout", value: "30s", allowed: "1s to 10m",
		about: "longest time for handing over all ranges and finishing requests at a planned stop",
		parse: func(c *Config, s string) error { return parseDuration(&c.DrainTimeout, s) }},
	{flag: "metrics", value: "true", about: "serve metrics on the address of --listen", allowed: "true or false",
		parse: func(c *Config, s string) (err error) { c.Metrics, err = strconv.ParseBool(s); return err }},
	{flag: "request-ids", value: "50000", allowed: "1000 to 10000000",
		about: "number of recent request ids in memory; with fewer, repeats are told sooner that they may have run",
		parse: func(c *Config, s string) error { return parseInt(&c.RequestIDs, s) }},
}

// env returns the name of the environment variable.
func (s setting) env() string {
	return envPrefix + "_" + strings.ToUpper(envReplacer.Replace(s.flag))
}

// usage returns the help text. The flag library adds the default.
func (s setting) usage() string {
	return fmt.Sprintf("%s; allowed: %s [%s]", s.about, s.allowed, s.env())
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

// splitList splits at commas; an empty text is an empty list.
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
