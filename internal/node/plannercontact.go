package node

import (
	"sync"
	"time"
)

// plannerContact records since when this node knows the planner and when that accepted its last report.
type plannerContact struct {
	mu  sync.Mutex
	row PlannerRow
	// since is when this node first saw row.
	since time.Time
	// accepted is when the planner last accepted a report; zero if it never did.
	accepted time.Time
}

// observe records the row that names the planner.
func (c *plannerContact) observe(row PlannerRow, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeLocked(row, now)
}

func (c *plannerContact) observeLocked(row PlannerRow, now time.Time) {
	if row == c.row && !c.since.IsZero() {
		return
	}
	if row.Instance != c.row.Instance {
		c.accepted = time.Time{}
	}
	c.row, c.since = row, now
}

// recordAccepted records that the planner that a row names accepted a report.
func (c *plannerContact) recordAccepted(row PlannerRow, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if row.Instance == c.row.Instance {
		c.accepted = now
	}
}

// known returns how long this node has known the row that names the planner.
func (c *plannerContact) known(row PlannerRow, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeLocked(row, now)
	return now.Sub(c.since)
}

// message returns what this node tells others about the planner that a row names.
func (c *plannerContact) message(row PlannerRow, now time.Time) plannerContactMessage {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeLocked(row, now)
	m := plannerContactMessage{Planner: row.Version, Known: *milliseconds(now.Sub(c.since))}
	if !c.accepted.IsZero() {
		m.Silent = milliseconds(now.Sub(c.accepted))
	}
	return m
}
