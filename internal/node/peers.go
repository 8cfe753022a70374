package node

import (
	"sync"
	"time"

	"github.com/basilway/basilway/internal/httpclient"
)

const (
	// peerDialTimeout bounds a connection to another node; a few round trips between the
	// farthest availability zones of a region.
	peerDialTimeout = 400 * time.Millisecond
	// peerUserTimeout closes a connection to another node whose bytes are not
	// acknowledged; it finds peers that went dark with requests in flight.
	peerUserTimeout = 1500 * time.Millisecond
	// peerIdle is how long an unused connection to another node is kept.
	peerIdle = 20 * time.Second
	// suspectFor is how long a node that could not be reached is avoided.
	suspectFor = 700 * time.Millisecond
	// failureWeight is the weight of one result in the failure share of a backend server.
	failureWeight = 0.1
	// workWeight is the weight of one measurement in the mean time on a backend server.
	workWeight = 0.05
)

// peerState is what this node has seen of another node and its backend server.
type peerState struct {
	pool         *httpclient.Pool
	load         peerLoad
	loadAt       time.Time
	outstanding  int
	failing      float64
	work         time.Duration
	suspectUntil time.Time
}

// peers keeps the state of all nodes that this node sends requests to.
type peers struct {
	mu     sync.Mutex
	states map[string]*peerState // by address
}

func newPeers() *peers { return &peers{states: map[string]*peerState{}} }

func (p *peers) get(address string) *peerState {
	s := p.states[address]
	if s == nil {
		s = &peerState{pool: httpclient.NewPool(address, httpclient.Config{
			DialTimeout: peerDialTimeout, UserTimeout: peerUserTimeout, IdleTimeout: peerIdle, MaxIdle: 64, ReadBuffer: 4096,
		})}
		p.states[address] = s
	}
	return s
}

// pool returns the connections to a node.
func (p *peers) pool(address string) *httpclient.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.get(address).pool
}

// begin counts a request that is sent to a node.
func (p *peers) begin(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.get(address).outstanding++
}

// end takes the result of a request that begin counted.
func (p *peers) end(address string, o outcome, unreachable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.get(address)
	s.outstanding--
	now := time.Now()
	if unreachable {
		s.suspectUntil = now.Add(suspectFor)
	}
	if o.load.known {
		s.load, s.loadAt, s.suspectUntil = o.load, now, time.Time{}
		if o.load.work > 0 {
			s.work = smooth(s.work, o.load.work)
		}
	}
	if o.arrived {
		failed := 0.0
		if o.err != nil || o.resp.StatusCode >= 500 {
			failed = 1
		}
		s.failing += failureWeight * (failed - s.failing)
	}
}

// retain forgets the nodes that are no longer members.
func (p *peers) retain(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, s := range p.states {
		if !addresses[address] && s.outstanding == 0 {
			s.pool.Close()
			delete(p.states, address)
		}
	}
}

func (p *peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.states {
		s.pool.Close()
	}
}

// smooth returns the moving average of a duration after a measurement.
func smooth(mean, measured time.Duration) time.Duration {
	if mean == 0 {
		return measured
	}
	return mean + time.Duration(workWeight*float64(measured-mean))
}
