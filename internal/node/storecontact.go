package node

import (
	"sync"
	"time"
)

// storeContact records when the store last answered a read of each table. It is safe for
// concurrent use.
type storeContact struct {
	mu       sync.Mutex
	answered map[string]time.Time
}

func newStoreContact() *storeContact { return &storeContact{answered: map[string]time.Time{}} }

// record records an answer to a read of a table.
func (c *storeContact) record(table string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered[table] = time.Now()
}

// age returns how long ago the store last answered a read of a table, and 0 if it never did.
func (c *storeContact) age(table string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.answered[table]
	if !ok {
		return 0
	}
	return time.Since(at)
}
