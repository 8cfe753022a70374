package daemon

import (
	"sync/atomic"
	"time"
)

// leaseClock publishes the end of the lease to the request path.
//
// The lease ends as soon as either the monotonic clock or the wall clock reaches its end.
// The monotonic clock of a virtual machine can stand still while the machine is
// suspended; the wall clock then shows the time that passed. A wall clock that is set
// forward ends the lease until the next renewal at most.
type leaseClock struct {
	end atomic.Pointer[leaseEnd]
}

type leaseEnd struct {
	monotonic time.Time
	wall      time.Time
}

// set publishes the end of the lease; the zero time means that there is no lease.
func (c *leaseClock) set(now, validUntil time.Time) {
	if validUntil.IsZero() {
		c.end.Store(nil)
		return
	}
	c.end.Store(&leaseEnd{monotonic: validUntil, wall: now.Round(0).Add(validUntil.Sub(now))})
}

// remaining returns how long the lease is still valid, 0 if it is not valid.
func (c *leaseClock) remaining(now time.Time) time.Duration {
	end := c.end.Load()
	if end == nil {
		return 0
	}
	return max(0, min(end.monotonic.Sub(now), end.wall.Sub(now.Round(0))))
}

// valid reports whether the lease is valid at now.
func (c *leaseClock) valid(now time.Time) bool { return c.remaining(now) > 0 }

// until returns the end of the lease on the monotonic clock of now.
func (c *leaseClock) until(now time.Time) time.Time { return now.Add(c.remaining(now)) }
