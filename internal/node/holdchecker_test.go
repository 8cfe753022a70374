package node

import (
	"fmt"
	"sync"
	"time"
)

// holdStep is the distance between the keys that a holdChecker samples.
const holdStep = 997

// keyHold is the hold of one backend server on a key.
type keyHold struct {
	fence uint64
	until time.Time
}

// holdChecker checks that no two backend servers hold a key at the same time, and that a key
// comes to another one only with a greater fencing token.
type holdChecker struct {
	mu         sync.Mutex
	holds      map[int]map[*backendSim]keyHold
	violations []string
}

func newHoldChecker() *holdChecker { return &holdChecker{holds: map[int]map[*backendSim]keyHold{}} }

// record records the present grants of s. s.mu must be held.
func (c *holdChecker) record(s *backendSim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for key := 0; key < 65536; key += holdStep {
		if c.holds[key] == nil {
			c.holds[key] = map[*backendSim]keyHold{}
		}
		own := c.holds[key][s]
		granted := false
		for _, g := range s.granted {
			if !g.Contains(uint16(key)) {
				continue
			}
			granted = true
			if !own.until.After(now) || own.fence != g.Fence {
				c.check(key, s, g.Fence, now)
			}
			c.holds[key][s] = keyHold{g.Fence, s.until}
		}
		if !granted && own.until.After(now) {
			c.holds[key][s] = keyHold{own.fence, now}
		}
	}
}

// check checks a key that s starts to hold. c.mu must be held.
func (c *holdChecker) check(key int, s *backendSim, fence uint64, now time.Time) {
	for other, h := range c.holds[key] {
		if other == s {
			continue
		}
		if h.until.After(now) {
			c.violations = append(c.violations, fmt.Sprintf("%s takes key %d while %s holds it for %v", s.id, key, other.id, h.until.Sub(now)))
		}
		if h.fence >= fence {
			c.violations = append(c.violations, fmt.Sprintf("%s takes key %d with token %d after %s had it with %d", s.id, key, fence, other.id, h.fence))
		}
	}
}

func (c *holdChecker) found() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}
