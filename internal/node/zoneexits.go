package node

import (
	"sync"
	"time"
)

// exitsQuiet is the time without a request that leaves the availability zone after which
// requests are said to stay there again. It keeps the log short while a zone is nearly full.
const exitsQuiet = 5 * time.Second

// exitChange is a change of whether requests leave the availability zone.
type exitChange uint8

const (
	exitsUnchanged exitChange = iota
	exitsBegan
	exitsEnded
)

// zoneExits tells when requests to a service begin and end to leave the availability zone
// although it has backend servers of the service.
type zoneExits struct {
	mu       sync.Mutex
	services map[string]*zoneExit
}

// zoneExit is a period in which requests leave the availability zone.
type zoneExit struct {
	count  int
	lastAt time.Time
}

// observe records whether a request leaves the zone. With exitsEnded it returns how many did.
func (z *zoneExits) observe(service string, left bool, now time.Time) (exitChange, int) {
	z.mu.Lock()
	defer z.mu.Unlock()
	e := z.services[service]
	switch {
	case left && e == nil:
		z.services[service] = &zoneExit{1, now}
		return exitsBegan, 0
	case left:
		e.count++
		e.lastAt = now
	case e != nil && now.Sub(e.lastAt) >= exitsQuiet:
		delete(z.services, service)
		return exitsEnded, e.count
	}
	return exitsUnchanged, 0
}
