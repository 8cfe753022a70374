package catalogue

import (
	"math"
	"time"
)

// Defaults that Limits.WithDefaults applies to fields that are 0.
const (
	// DefaultMaxInFlight exceeds the slots of all backend servers in a cluster of the
	// target size (1,900 x 9), so by default only slots limit a service.
	DefaultMaxInFlight = 20_000
	// DefaultMaxQueue keeps the queueing time near 50 ms with 6 slots and 10 ms per request.
	DefaultMaxQueue        = 32
	DefaultMaxPayloadBytes = 1 << 20
	DefaultTimeout         = 2 * time.Second
	// DefaultBurstWindow is the duration of traffic at RatePerSecond that the default
	// Burst allows at once.
	DefaultBurstWindow = 100 * time.Millisecond
)

// Limits are the limits of a service. WithDefaults replaces fields that are 0.
type Limits struct {
	// MaxInFlight is the maximum number of requests in flight in the whole cluster.
	MaxInFlight uint32 `cbor:"1,keyasint,omitempty" validate:"lte=1000000"`
	// MaxQueue is the maximum number of requests that wait at one backend server.
	MaxQueue uint32 `cbor:"2,keyasint,omitempty" validate:"lte=10000"`
	// RatePerSecond is the maximum number of requests per second at one backend
	// server; 0 is no limit.
	RatePerSecond float64 `cbor:"3,keyasint,omitempty" validate:"gte=0,lte=10000000"`
	// Burst is the number of requests that may come at once under RatePerSecond.
	// The default is 100 ms of traffic at that rate, and at least 1.
	Burst uint32 `cbor:"4,keyasint,omitempty" validate:"lte=1000000"`
	// MaxPayloadBytes is the maximum payload size of a request.
	MaxPayloadBytes uint32 `cbor:"5,keyasint,omitempty" validate:"lte=16777216"`
	// DefaultTimeoutMS is the timeout in milliseconds of a request that sets none.
	DefaultTimeoutMS uint32 `cbor:"6,keyasint,omitempty" validate:"lte=600000"`
}

// WithDefaults returns l with defaults in place of zero fields. RatePerSecond stays 0,
// because that means no limit, and Burst then stays 0 too.
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

// Timeout returns DefaultTimeoutMS, or its default, as a duration.
func (l Limits) Timeout() time.Duration {
	return time.Duration(l.WithDefaults().DefaultTimeoutMS) * time.Millisecond
}

// InFlightPerServer returns the share of MaxInFlight of one of the given number of backend
// servers. It is rounded up so that the shares never add up to less than the limit.
func (l Limits) InFlightPerServer(servers int) int {
	n := max(1, servers)
	return (int(l.WithDefaults().MaxInFlight) + n - 1) / n
}

func setDefault(field *uint32, value uint32) {
	if *field == 0 {
		*field = value
	}
}
