package node

import (
	"slices"
	"time"

	"github.com/basilway/basilway/httproute"
	"github.com/basilway/basilway/verdict"
)

// regionRetryAfter is the Retry-After of requests without a backend server in an allowed region. Only
// operators change that, or moves of keys.
const regionRetryAfter = time.Second

// regionOf returns the region of an availability zone, or "" if it is not known.
func (n *Node) regionOf(zone string) string {
	if region, ok := n.config.Zones[zone]; ok {
		return region
	}
	if zone == n.config.Zone {
		return n.config.Region
	}
	return ""
}

// regionGate returns why a request of a route must not be passed to m's instance and backend server,
// or nil.
func (n *Node) regionGate(route *httproute.Route, m Member) *verdict.Error {
	if len(route.AllowedRegions) == 0 || route.Allows(n.regionOf(m.Zone)) {
		return nil
	}
	err := verdict.New(verdict.NotRun, verdict.ReasonRegion, "%s is not in a region that route %s allows", m.Owner.Instance, route.Name)
	return err.WithRetryAfter(regionRetryAfter)
}

// regionsOf returns why no backend server of a request's service may get it because of their regions,
// or nil if there is one in an allowed region.
func (n *Node) regionsOf(req *request) *verdict.Error {
	members := n.views.current().ServiceMembers(req.ticket.service)
	if len(req.route.AllowedRegions) == 0 || slices.ContainsFunc(members, func(m Member) bool { return n.regionGate(req.route, m) == nil }) {
		return nil
	}
	err := verdict.New(verdict.NotRun, verdict.ReasonRegion, "no backend server of %s is in a region that route %s allows", req.ticket.service, req.route.Name)
	return err.WithRetryAfter(regionRetryAfter)
}
