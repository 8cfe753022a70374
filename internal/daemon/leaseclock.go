package daemon

import (
	"sync/atomic"
	"time"
)

// leaseClock publishes the end of the lease to the request path.
//
// The lease is valid only if the monotonic clock and the wall clock agree that it has
// not ended. The monotonic clock of a virtual machine can stand still while the
// machine is suspended; the wall clock then shows the time that passed. A wall clock
// that is set forward costs at most the time to the next renewal.
type leaseClock struct {
	end atomic.Pointer[leaseEnd]
}

type leaseEnd struct {
	monotonic time.Time
	wall      time.Time
}

// set publishes the end of the lease; zero for none.
func (c *leaseClock) set(now, validUntil time.Time) {
	if validUntil.IsZero() {
		c.end.Store(nil)
		return
	}
	c.end.Store(&leaseEnd{monotonic: validUntil, wall: now.Round(0).Add(validUntil.Sub(now))})
}

// remaining returns for how long the lease is still valid; 0 if it is not.
func (c *leaseClock) remaining(now time.Time) time.Duration {
	end := c.end.Load()
	if end == nil {
		return 0
	}
	return max(0, min(end.monotonic.Sub(now), end.wall.Sub(now.Round(0))))
}

// valid reports whether the lease is valid at now.
func (c *leaseClock) valid(now time.Time) bool { return c.remaining(now) > 0 }

// until returns the end of the lease in the monotonic clock of now.
func (c *leaseClock) until(now time.Time) time.Time { return now.Add(c.remaining(now)) }
