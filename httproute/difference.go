package httproute

import (
	"fmt"
	"slices"
	"strings"
)

// Difference is a change from one snapshot to another.
type Difference struct {
	// Place names the entry, such as route "book".
	Place  string `json:"place"`
	Change string `json:"change"`
}

// String returns the place and the change.
func (d Difference) String() string { return d.Place + " " + d.Change }

// Differences returns the changes from one snapshot to another in the order of the newer one; what was
// removed comes after. Entries are matched by their names.
func Differences(from, to Snapshot) []Difference {
	var out []Difference
	out = append(out, compareByName(from.Services, to.Services, func(s Service) string { return s.Name }, servicePlace, serviceChanges)...)
	out = append(out, compareByName(from.Routes, to.Routes, func(r Route) string { return r.Name }, routePlace, routeChanges)...)
	for _, change := range limitsChanges(from.Limits, to.Limits) {
		out = append(out, Difference{limitsPlace, change})
	}
	return out
}

// compareByName compares lists whose entries are matched by name. Further entries of a name are matched with
// the further ones of the other list.
func compareByName[T any](from, to []T, name func(T) string, place func(string) string, changes func(from, to T) []string) []Difference {
	var out []Difference
	left := map[string][]T{}
	for _, old := range from {
		left[name(old)] = append(left[name(old)], old)
	}
	for _, now := range to {
		key := name(now)
		if len(left[key]) == 0 {
			out = append(out, Difference{place(key), "added"})
			continue
		}
		for _, change := range changes(left[key][0], now) {
			out = append(out, Difference{place(key), change})
		}
		left[key] = left[key][1:]
	}
	for _, old := range from {
		if key := name(old); len(left[key]) > 0 {
			out = append(out, Difference{place(key), "removed"})
			left[key] = left[key][1:]
		}
	}
	return out
}

// changed appends what changed, if anything did.
func changed[T comparable](out []string, what string, from, to T) []string {
	if from == to {
		return out
	}
	return append(out, fmt.Sprintf("%s changed from %v to %v", what, from, to))
}

func serviceChanges(from, to Service) []string {
	var out []string
	out = changed(out, "health check path", from.HealthPath, to.HealthPath)
	out = changed(out, "number of connections", from.MaxConnections, to.MaxConnections)
	out = changed(out, "warm-up time", from.WarmUp, to.WarmUp)
	if from.Sharded != to.Sharded {
		out = append(out, map[bool]string{true: "keys got owners", false: "keys no longer have owners"}[to.Sharded])
	}
	return out
}

func routeChanges(from, to Route) []string {
	var out []string
	out = changed(out, "host", from.Host, to.Host)
	out = changed(out, "prefix", from.Prefix, to.Prefix)
	out = changed(out, "kind", from.Kind, to.Kind)
	out = changed(out, "timeout", from.Timeout, to.Timeout)
	out = changed(out, "target latency", from.TargetLatency, to.TargetLatency)
	out = changed(out, "priority", from.Priority, to.Priority)
	out = changed(out, "number of attempts", from.MaxAttempts, to.MaxAttempts)
	if slices.Equal(from.Destinations, to.Destinations) {
		return out
	}
	if len(from.Destinations) == 1 && len(to.Destinations) == 1 && from.Destinations[0].Service != to.Destinations[0].Service {
		return append(out, fmt.Sprintf("moved from service %q to service %q", from.Destinations[0].Service, to.Destinations[0].Service))
	}
	return changed(out, "services", destinationsText(from), destinationsText(to))
}

// destinationsText lists the services of a route with their weights.
func destinationsText(r Route) string {
	var parts []string
	for _, d := range r.Destinations {
		parts = append(parts, fmt.Sprintf("%s:%d", d.Service, d.Weight))
	}
	return "[" + strings.Join(parts, " ") + "]"
}

func limitsChanges(from, to Limits) []string {
	var out []string
	out = changed(out, "header bytes", from.HeaderBytes, to.HeaderBytes)
	out = changed(out, "body bytes", from.BodyBytes, to.BodyBytes)
	out = changed(out, "header timeout", from.HeaderTimeout, to.HeaderTimeout)
	return changed(out, "idle timeout", from.IdleTimeout, to.IdleTimeout)
}
