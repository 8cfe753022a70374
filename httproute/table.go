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
	Version  uint64
	Limits   Limits
	hosts    map[string][]Route // longest prefix first
	services map[string]Service
	// names are the names of the services in alphabetical order.
	names []string
	// Digest is a hash of the snapshot, with which two nodes find out whether they have the same.
	Digest uint64
}

// NewTable validates a snapshot and indexes its routes. The error lists every problem.
func NewTable(s Snapshot) (*Table, error) {
	t := &Table{Version: s.Version, Limits: s.Limits, hosts: map[string][]Route{}, services: map[string]Service{}}
	var problems []string
	for _, service := range s.Services {
		t.services[service.Name] = service
	}
	for _, r := range s.Routes {
		if problem := t.validate(r); problem != "" {
			problems = append(problems, fmt.Sprintf("route %q: %s", r.Name, problem))
			continue
		}
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	if len(problems) > 0 {
		return nil, fmt.Errorf("desired state %d: %s", s.Version, strings.Join(problems, "; "))
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	t.names = slices.Sorted(maps.Keys(t.services))
	t.Digest = t.digest()
	return t, nil
}

func (t *Table) validate(r Route) string {
	switch {
	case r.Host == "":
		return "no host"
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Sprintf("prefix %q must start and end with a slash", r.Prefix)
	case r.Timeout <= 0:
		return "timeout must be positive"
	case len(r.Destinations) == 0:
		return "no service"
	}
	total := 0
	for _, d := range r.Destinations {
		if _, ok := t.services[d.Service]; !ok {
			return fmt.Sprintf("unknown service %q", d.Service)
		}
		if d.Weight < 0 {
			return fmt.Sprintf("negative weight of service %q", d.Service)
		}
		total += d.Weight
	}
	if total == 0 {
		return "all weights are zero"
	}
	return ""
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
