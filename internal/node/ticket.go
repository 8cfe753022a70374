package node

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/basilway/basilway/httproute"
)

// hopHeader carries a ticket from the node that took a request to the node beside the
// backend server, and hopOutcomeHeader and hopLoadHeader carry what that node says back.
const (
	hopHeader        = "Basilway-Ticket"
	hopOutcomeHeader = "Basilway-Outcome"
	hopLoadHeader    = "Basilway-Load"
)

// ticket is what a node decided about a request before it passes it on.
type ticket struct {
	// instance is the node that the request is sent to; its address may be another's now.
	instance string
	service  string
	route    string
	kind     httproute.Kind
	// sharded requests run only on the owner of key.
	sharded  bool
	key      uint16
	priority int
	// nested requests were made by a request that holds a slot meanwhile.
	nested bool
	// repeat is set if the request was sent to a backend server before.
	repeat bool
	// target and deadline are relative when a ticket travels, because clocks differ.
	target, deadline time.Time
	// fingerprint recognises a request that crashes backend servers.
	fingerprint uint64
}

const ticketFields = 12

// encode returns the form of the ticket on the wire at now.
func (t ticket) encode(now time.Time) string {
	return fmt.Sprintf("%s,%s,%d,%t,%d,%d,%t,%t,%d,%d,%x,%s", t.service, t.route, t.kind, t.sharded, t.key, t.priority,
		t.nested, t.repeat, t.target.Sub(now).Microseconds(), t.deadline.Sub(now).Microseconds(), t.fingerprint, t.instance)
}

// decodeTicket reads the form that encode returns, received at now.
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
	if err != nil || ints[1] < 0 || ints[1] > 65535 {
		return ticket{}, fmt.Errorf("ticket %q", s)
	}
	return ticket{
		instance: f[11], service: f[0], route: f[1], kind: httproute.Kind(ints[0]), sharded: f[3] == "true", key: uint16(ints[1]),
		priority: int(ints[2]), nested: f[6] == "true", repeat: f[7] == "true",
		target:   now.Add(time.Duration(ints[3]) * time.Microsecond),
		deadline: now.Add(time.Duration(ints[4]) * time.Microsecond), fingerprint: fingerprint,
	}, nil
}
