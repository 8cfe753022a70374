package node

import (
	"sync"
	"time"
)

// keyWork is the expected work of the requests for one key.
type keyWork struct {
	Key uint16 `cbor:"1,keyasint"`
	// Micros is the work in microseconds on a backend server of mean speed.
	Micros uint32 `cbor:"2,keyasint"`
	// Requests is the number of requests.
	Requests uint32 `cbor:"3,keyasint,omitempty"`
}

// keyDemand is the work and the number of the requests for one key.
type keyDemand struct {
	work     time.Duration
	requests uint32
}

// demandMeter sums the expected work of the requests that this node received, by service and
// key, until it is reported to the planner.
type demandMeter struct {
	mu       sync.Mutex
	services map[string]map[uint16]keyDemand
}

func newDemandMeter() *demandMeter {
	return &demandMeter{services: map[string]map[uint16]keyDemand{}}
}

func (d *demandMeter) add(t ticket, work time.Duration) {
	if !t.sharded {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	keys := d.services[t.service]
	if keys == nil {
		keys = map[uint16]keyDemand{}
		d.services[t.service] = keys
	}
	have := keys[t.key]
	keys[t.key] = keyDemand{have.work + work, have.requests + 1}
}

// take returns the work added since the last call.
func (d *demandMeter) take() map[string][]keyWork {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string][]keyWork{}
	for service, keys := range d.services {
		for key, k := range keys {
			out[service] = append(out[service], keyWork{Key: key, Micros: uint32(k.work.Microseconds()), Requests: k.requests})
		}
	}
	d.services = map[string]map[uint16]keyDemand{}
	return out
}

// workMeter keeps the mean time of each route's requests over all backend servers that this
// node used.
type workMeter struct {
	mu     sync.Mutex
	routes map[string]time.Duration
}

// initialWork is the expected time on a backend server for a route without responses yet.
const initialWork = 60 * time.Millisecond

// expectedWork returns the expected time of the route's requests on a backend server.
func (n *Node) expectedWork(route string) time.Duration {
	n.meanWork.mu.Lock()
	defer n.meanWork.mu.Unlock()
	if w := n.meanWork.routes[route]; w > 0 {
		return w
	}
	return initialWork
}

func (n *Node) observeWork(route string, took time.Duration) {
	n.meanWork.mu.Lock()
	defer n.meanWork.mu.Unlock()
	n.meanWork.routes[route] = smooth(n.meanWork.routes[route], took)
}
