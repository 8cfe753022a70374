package node

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/basilway/basilway/httproute"
)

// ticketHeader carries a ticket with names from the node that received a request to the node
// beside the backend server. outcomeHeader and loadHeader carry that node's response: a failed
// outcome, and the load of the backend server. Nodes that understand each other use
// compactHeader instead of the ticket and the load.
const (
	ticketHeader  = "Basilway-Ticket"
	outcomeHeader = "Basilway-Outcome"
	loadHeader    = "Basilway-Load"
)

// ticket is what a node has determined about a request before it forwards it.
type ticket struct {
	// instance is the instance that the request is sent to. It is checked on arrival, because
	// the address may have passed to another instance.
	instance string
	service  string
	route    string
	kind     httproute.Kind
	// sharded requests run only on the owner of key.
	sharded  bool
	key      uint16
	priority int
	// nested is set if the request was made by another one, which holds a slot meanwhile.
	nested bool
	// retry is set if an earlier try reached a backend server.
	retry bool
	// target is the time until which a response has its full value, deadline when the caller
	// gives up. They are encoded relative to now, because clocks differ.
	target, deadline time.Time
	// fingerprint identifies a request that crashes backend servers.
	fingerprint uint64
	// routes is the digest of the desired state by which the request was routed, and destination
	// the index of the service among the destinations of its route.
	routes      uint64
	destination int
	// version is that of the desired state, 0 if the node of the client is of an earlier release, and host and path
	// are what it routed by.
	version    uint64
	host, path string
	// arrived is when this node read the request.
	arrived time.Time
}

// routedBy sets what follows from the desired state.
func (t *ticket) routedBy(routes *httproute.Table, route *httproute.Route, service string) {
	t.service, t.route, t.kind, t.priority = service, route.Name, route.Kind, route.Priority
	t.routes, t.version = routes.Digest, routes.Version
	t.destination = slices.IndexFunc(route.Destinations, func(d httproute.Destination) bool { return d.Service == service })
}

const (
	ticketFields = 12
	// maxWireTime bounds the times in the headers between nodes: how far those of a ticket are from now,
	// and the durations in a response. Farther ones count as this.
	maxWireTime = 24 * time.Hour
)

// encode returns the wire form of the ticket, sent at now.
func (t ticket) encode(now time.Time) string {
	return fmt.Sprintf("%s,%s,%d,%t,%d,%d,%t,%t,%d,%d,%x,%s", t.service, t.route, t.kind, t.sharded, t.key, t.priority,
		t.nested, t.retry, t.target.Sub(now).Microseconds(), t.deadline.Sub(now).Microseconds(), t.fingerprint, t.instance)
}

// decodeTicket decodes a ticket received at now.
func decodeTicket(s string, now time.Time) (ticket, error) {
	f := strings.Split(s, ",")
	if len(f) != ticketFields {
		return ticket{}, fmt.Errorf("ticket with %d fields", len(f))
	}
	var ints [5]int64
	for i, at := range []int{2, 4, 5, 8, 9} {
		n, err := strconv.ParseInt(f[at], 10, 64)
		if err != nil {
			return ticket{}, fmt.Errorf("ticket field %d: %w", at, err)
		}
		ints[i] = n
	}
	fingerprint, err := strconv.ParseUint(f[10], 16, 64)
	if err != nil || ints[1] < 0 || ints[1] > 65535 || ints[0] < 0 || ints[0] > int64(httproute.Download) {
		return ticket{}, fmt.Errorf("ticket %q", s)
	}
	return ticket{
		instance: f[11], service: f[0], route: f[1], kind: httproute.Kind(ints[0]), sharded: f[3] == "true", key: uint16(ints[1]),
		priority: int(ints[2]), nested: f[6] == "true", retry: f[7] == "true",
		target: now.Add(wireDuration(ints[3])), deadline: now.Add(wireDuration(ints[4])), fingerprint: fingerprint,
	}, nil
}

// wireDuration returns a duration that was sent in microseconds.
func wireDuration(micros int64) time.Duration {
	limit := maxWireTime.Microseconds()
	return time.Duration(min(max(micros, -limit), limit)) * time.Microsecond
}
