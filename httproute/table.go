package httproute

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
)

// Snapshot is one version of the desired state: routes, services and limits.
type Snapshot struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Table looks up the route of a request.
type Table struct {
	Version uint64
	Limits  Limits
	// Warnings are the findings of Check, which do not keep the table from being used.
	Warnings []Finding
	hosts    map[string][]Route // longest prefix first
	services map[string]Service
	// names are the names of the services in alphabetical order.
	names []string
	// Digest is a hash of the snapshot, with which two nodes find out whether they have the same.
	Digest uint64
}

// NewTable validates a snapshot by Check and indexes its routes. The error lists every problem.
func NewTable(s Snapshot) (*Table, error) {
	found := Check(s)
	if problems := errorTexts(found); len(problems) > 0 {
		return nil, fmt.Errorf("desired state %d: %s", s.Version, strings.Join(problems, "; "))
	}
	t := &Table{Version: s.Version, Limits: s.Limits, Warnings: found, hosts: map[string][]Route{}, services: map[string]Service{}}
	for _, service := range s.Services {
		t.services[service.Name] = service
	}
	for _, r := range s.Routes {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	t.names = slices.Sorted(maps.Keys(t.services))
	t.Digest = t.digest()
	return t, nil
}

// errorTexts returns the texts of the findings that are an Error.
func errorTexts(all []Finding) []string {
	var out []string
	for _, f := range all {
		if f.Severity == Error {
			out = append(out, f.String())
		}
	}
	return out
}

// Match returns the route of the host whose prefix is the longest one that path starts
// with. A port in host is ignored.
func (t *Table) Match(host, path string) (*Route, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	routes := t.hosts[strings.ToLower(host)]
	for i := range routes {
		if strings.HasPrefix(path, routes[i].Prefix) {
			return &routes[i], true
		}
	}
	return nil, false
}

// Service returns the service with a name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// ShardedServices returns the names of the sharded services in alphabetical order.
func (t *Table) ShardedServices() []string {
	var out []string
	for name, s := range t.services {
		if s.Sharded {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
