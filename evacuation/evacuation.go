// Package evacuation decides what an operator's evacuation of availability zones means: which rows
// of the store are in force, who may still send what to which backend server, whose keys move
// away, and when it is over. It does no I/O and reads no clock.
//
// The load that it answers: a quarter of a service's capacity goes away at once while the service
// is nearly full. Keys have to be elsewhere before their owners get no more requests, and what
// the rest can't take is refused with a time to come back.
package evacuation

import (
	"time"

	"github.com/basilway/basilway/metastore"
)

const (
	// closePercent is the percentage of the bound after which the backend servers of an evacuated
	// zone get no more requests. A node learns of a row up to 2 s after its confirmation, and what
	// is in transit then must arrive within the bound of 5 s.
	closePercent = 45
	// movePercent is the percentage of the bound within which keys are expected to have moved.
	movePercent = 80
	// minRetryAfter is the shortest Retry-After while keys move away; about the time between two
	// heartbeats, which complete a move.
	minRetryAfter = 400 * time.Millisecond
	// maxRetryAfter is the Retry-After while nothing tells when a request can be served: callers
	// come back soon enough for operators, who take seconds to remove a row.
	maxRetryAfter = time.Second
)

// Zone is an evacuated availability zone.
type Zone struct {
	// Version is the store's version of the operator's row.
	Version uint64
	// Since is the time from which the bound counts: when a node first read the row, as far as
	// that is known, and otherwise the last time at which the row was known not to exist.
	Since time.Time
	// Lost is set if the store went back and has no row any more. The operator has not removed it, and
	// gets the time to write it again.
	Lost bool
}

// Zones are the evacuated availability zones by name. It is not changed once it is in use.
type Zones map[string]Zone

// Policy holds the bound that decisions keep.
type Policy struct {
	// Bound is how long after the confirmation of the operator's row a zone may get requests; 0 if
	// the deployment has no evacuations.
	Bound time.Duration
}

// Enabled reports whether the deployment has evacuations.
func (p Policy) Enabled() bool { return p.Bound > 0 }

// closeAfter is how long backend servers still get requests for their keys.
func (p Policy) closeAfter() time.Duration { return p.Bound * closePercent / 100 }

// Closed reports whether the backend servers of a zone get no requests at all any more.
func (p Policy) Closed(zones Zones, zone string, now time.Time) bool {
	z, evacuated := zones[zone]
	return evacuated && now.Sub(z.Since) >= p.closeAfter()
}

// MaySend reports whether a node may send a request to a backend server in a zone. Requests with
// a key go to the owner of the key until the zone is closed; others leave the zone out at once.
func (p Policy) MaySend(zones Zones, zone string, keyed bool, now time.Time) bool {
	return !zones.Leaving(zone) || keyed && !p.Closed(zones, zone, now)
}

// Leaving reports whether the keys of the zone's backend servers move away, and none to them.
func (z Zones) Leaving(zone string) bool {
	_, evacuated := z[zone]
	return evacuated
}

// CoverAll reports whether all of a service's zones are evacuated. A service without any is not.
func (z Zones) CoverAll(serviceZones []string) bool {
	for _, zone := range serviceZones {
		if !z.Leaving(zone) {
			return false
		}
	}
	return len(serviceZones) > 0
}

// RetryAfter returns when a request comes back that was refused because its key has not moved away
// from the zone yet.
func (p Policy) RetryAfter(zones Zones, zone string, now time.Time) time.Duration {
	left := zones[zone].Since.Add(p.Bound * movePercent / 100).Sub(now)
	if left <= 0 {
		return maxRetryAfter // the moves are late, and nothing tells for how long
	}
	return min(max(left, minRetryAfter), maxRetryAfter)
}

// RetryAfterAll returns when a request comes back to a service whose zones are all evacuated.
func (p Policy) RetryAfterAll() time.Duration { return maxRetryAfter }

// Update returns the zones that are in force according to a set. A zone that is already evacuated keeps
// its time; a new one counts from since. Until it is settled what the store lost when it went back,
// zones stay evacuated whose rows it lost.
func (z Zones) Update(s Set, settled bool, since func(zone string) time.Time) Zones {
	out := Zones{}
	for zone, version := range s.Evacuated() {
		known, evacuated := z[zone]
		if !evacuated {
			known.Since = since(zone)
		}
		known.Version, known.Lost = version, false
		out[zone] = known
	}
	for zone, known := range z {
		if _, present := out[zone]; !present && !settled && metastore.Generation(s.AsOf(zone)) > metastore.Generation(known.Version) {
			known.Lost = true
			out[zone] = known
		}
	}
	return out
}
