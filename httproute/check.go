package httproute

import (
	"fmt"
	"math"
	"strings"
)

// Check returns what is wrong with a snapshot. NewTable refuses a snapshot exactly if one of the findings is
// an Error.
func Check(s Snapshot) []Finding {
	f := &findings{}
	services := map[string]bool{}
	for _, service := range s.Services {
		f.place = servicePlace(service.Name)
		if services[service.Name] {
			f.warn("is listed more than once; the last one applies")
		}
		services[service.Name] = true
		checkService(f, service)
	}
	names := map[string]bool{}
	first := map[string]string{} // name of the first route by host and prefix
	for _, r := range s.Routes {
		f.place = routePlace(r.Name)
		if names[r.Name] {
			f.warn("another route has the same name; metrics and logs do not tell them apart")
		}
		names[r.Name] = true
		checkRoute(f, r, services)
		target := strings.ToLower(r.Host) + " " + r.Prefix
		if other, taken := first[target]; taken {
			f.warn("never matches: %s has the same host and prefix and comes first", routePlace(other))
		} else {
			first[target] = r.Name
		}
	}
	f.place = limitsPlace
	checkLimits(f, s.Limits)
	f.place = ""
	if len(s.Routes) == 0 {
		f.warn("there is no route, so every request is answered with 404")
	}
	return f.all
}

// limitsPlace is the place of findings in the limits.
const limitsPlace = "limits"

func servicePlace(name string) string { return fmt.Sprintf("service %q", name) }

func routePlace(name string) string { return fmt.Sprintf("route %q", name) }

// checkRoute checks one route; services are the names of all services.
func checkRoute(f *findings, r Route, services map[string]bool) {
	if r.Name == "" {
		f.warn("has no name")
	}
	if r.Host == "" {
		f.error("no host")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		f.error("prefix %q must start and end with a slash", r.Prefix)
	}
	checkPattern(f, r)
	if r.Timeout <= 0 {
		f.error("timeout must be positive")
	}
	checkTimes(f, r)
	if r.Priority < 0 {
		f.warn("priority is %d; 0 is the highest", r.Priority)
	}
	checkDestinations(f, r, services)
}

// checkPattern warns of hosts and prefixes that no request has.
func checkPattern(f *findings, r Route) {
	if at := strings.LastIndexByte(r.Host, ':'); at >= 0 && strings.IndexByte(r.Host, ':') == at {
		f.warn("never matches: host %q has a port, and the host of a request is compared without its port", r.Host)
	}
	if strings.Contains(r.Host, "*") {
		f.warn("never matches: host %q has a *, and there are no wildcards", r.Host)
	}
	if at := strings.IndexFunc(r.Host, func(c rune) bool { return c <= ' ' || c > '~' || strings.ContainsRune("/?#@", c) }); at >= 0 {
		f.warn("never matches: host %q has a character that no host has", r.Host)
	}
	if at := strings.IndexAny(r.Prefix, "%?#"); at >= 0 {
		f.warn("prefix %q has a %q, but it is compared with the decoded path, without the query", r.Prefix, r.Prefix[at])
	}
}

// checkTimes warns of times and attempts that contradict each other.
func checkTimes(f *findings, r Route) {
	if r.TargetLatency < 0 {
		f.warn("target latency is negative")
	}
	if r.MaxAttempts < 0 {
		f.warn("the number of attempts is negative; one is made")
	}
	if r.Timeout <= 0 || r.TargetLatency <= 0 {
		return
	}
	if r.TargetLatency > r.Timeout {
		f.warn("target latency %v is above the timeout %v, so a response is never late", r.TargetLatency, r.Timeout)
		return
	}
	if r.MaxAttempts > 1 && r.Timeout/r.TargetLatency < 1<<31 && int64(r.MaxAttempts) > int64(r.Timeout/r.TargetLatency) {
		f.warn("%d attempts of the target latency %v do not fit into the timeout %v", r.MaxAttempts, r.TargetLatency, r.Timeout)
	}
}

func checkDestinations(f *findings, r Route, services map[string]bool) {
	if len(r.Destinations) == 0 {
		f.error("no service")
		return
	}
	total, named := uint64(0), map[string]bool{}
	for _, d := range r.Destinations {
		if !services[d.Service] {
			f.error("unknown service %q", d.Service)
		}
		if named[d.Service] {
			f.warn("service %q is listed more than once; its weights add up", d.Service)
		}
		named[d.Service] = true
		if d.Weight < 0 {
			f.error("negative weight of service %q", d.Service)
			continue
		}
		total = min(total+uint64(d.Weight), math.MaxInt64)
	}
	switch {
	case total == 0:
		f.error("all weights are zero")
	case total > math.MaxUint32:
		f.warn("the weights add up to more than %d, so the shares are not those of the weights", uint32(math.MaxUint32))
	}
}

func checkService(f *findings, s Service) {
	if s.Name == "" {
		f.warn("has no name")
	}
	if s.HealthPath != "" && !strings.HasPrefix(s.HealthPath, "/") {
		f.warn("health check path %q does not start with a slash", s.HealthPath)
	}
	if s.MaxConnections < 0 {
		f.warn("the number of connections is negative")
	}
	if s.WarmUp < 0 {
		f.warn("the warm-up time is negative")
	}
}

func checkLimits(f *findings, l Limits) {
	if l.HeaderBytes < 0 || l.BodyBytes < 0 {
		f.warn("a negative number of bytes means no limit")
	}
	if l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		f.warn("a negative time means no limit")
	}
}
