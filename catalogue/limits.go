package catalogue

import (
	"math"
	"time"
)

// Defaults that Limits.WithDefaults applies to fields that are 0.
const (
	// DefaultMaxInFlight is above the slots of all servers of the target size
	// (1,900 x 9), so by default only slots limit a service.
	DefaultMaxInFlight = 20_000
	// DefaultMaxQueue keeps the wait near 50 ms for 6 slots and 10 ms a request.
	DefaultMaxQueue        = 32
	DefaultMaxPayloadBytes = 1 << 20
	DefaultTimeout         = 2 * time.Second
	// DefaultBurstWindow is the time of traffic at the full rate that a burst holds.
	DefaultBurstWindow = 100 * time.Millisecond
)

// Limits of a catalogue entry. A field that is 0 takes its default.
type Limits struct {
	// MaxInFlight is the number of requests in flight in the whole cluster.
	MaxInFlight uint32 `cbor:"1,keyasint,omitempty" validate:"lte=1000000"`
	// MaxQueue is the number of requests that wait at one backend server.
	MaxQueue uint32 `cbor:"2,keyasint,omitempty" validate:"lte=10000"`
	// RatePerSecond is the number of requests a second at one backend server; 0 is
	// no limit.
	RatePerSecond float64 `cbor:"3,keyasint,omitempty" validate:"gte=0,lte=10000000"`
	// Burst is the number of requests that may come at once within RatePerSecond.
	// The default is 100 ms of traffic at that rate, and at least 1.
	Burst uint32 `cbor:"4,keyasint,omitempty" validate:"lte=1000000"`
	// MaxPayloadBytes limits the payload of a request.
	MaxPayloadBytes uint32 `cbor:"5,keyasint,omitempty" validate:"lte=16777216"`
	// DefaultTimeoutMS is the time in milliseconds for a request that names none.
	DefaultTimeoutMS uint32 `cbor:"6,keyasint,omitempty" validate:"lte=600000"`
}

// WithDefaults returns l with defaults in place of zero fields. RatePerSecond 0
// stays, because it means no limit.
func (l Limits) WithDefaults() Limits {
	setDefault(&l.MaxInFlight, DefaultMaxInFlight)
	setDefault(&l.MaxQueue, DefaultMaxQueue)
	setDefault(&l.MaxPayloadBytes, DefaultMaxPayloadBytes)
	setDefault(&l.DefaultTimeoutMS, uint32(DefaultTimeout/time.Millisecond))
	if l.RatePerSecond > 0 {
		setDefault(&l.Burst, uint32(max(1, math.Ceil(l.RatePerSecond*DefaultBurstWindow.Seconds()))))
	}
	return l
}

// Timeout returns DefaultTimeoutMS or its default as a duration.
func (l Limits) Timeout() time.Duration {
	return time.Duration(l.WithDefaults().DefaultTimeoutMS) * time.Millisecond
}

// InFlightPerServer returns one server's share of MaxInFlight among servers, rounded
// up, so that the shares never add up to less than the limit.
func (l Limits) InFlightPerServer(servers int) int {
	n := max(1, servers)
	return (int(l.WithDefaults().MaxInFlight) + n - 1) / n
}

func setDefault(field *uint32, value uint32) {
	if *field == 0 {
		*field = value
	}
}
