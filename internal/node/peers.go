package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/basilway/basilway/internal/httpclient"
	"github.com/basilway/basilway/throttle"
)

const (
	// peerDialTimeout bounds a connection to another node; many round trips between the
	// farthest availability zones of a region, and short against a target latency.
	peerDialTimeout = 150 * time.Millisecond
	// peerUserTimeout closes a connection to another node whose bytes are not
	// acknowledged; it finds peers that went dark with requests in flight.
	peerUserTimeout = 1500 * time.Millisecond
	// peerIdle is how long an unused connection to another node is kept.
	peerIdle = 20 * time.Second
	// peerSilence is how long a node may owe an answer beyond the usual time of the
	// request, without any other answer of it, until it is probed.
	peerSilence = 200 * time.Millisecond
	// probeTimeout bounds a probe of a node, whose processor may be busy, and probeInterval
	// is the pause between two probes of a node that cannot be reached.
	probeTimeout  = 250 * time.Millisecond
	probeInterval = 150 * time.Millisecond
	// silentProbes is the number of probes without an answer after which requests end that
	// could run elsewhere; one may be late because the node's processor is busy.
	silentProbes = 2
	// failureWeight is the weight of one result in the failure share of a backend server.
	failureWeight = 0.1
	// workWeight is the weight of one measurement in the mean time on a backend server.
	workWeight = 0.05
)

// peerState is what this node has seen of another node and its backend server.
type peerState struct {
	pool        *httpclient.Pool
	load        peerLoad
	loadAt      time.Time
	outstanding int
	failing     float64
	work        time.Duration
	// throttles by priority keep requests from an overloaded backend server.
	throttles map[int]*throttle.Throttle
	// overheads are the times of answers beyond the work of the backend server, by whether
	// they are large: waiting, the way, and a link that is full.
	overheads map[bool]overhead
	// seen is when the node answered last.
	seen time.Time
	// lost is set while the node cannot be reached, and probing while that is looked into.
	lost, probing bool
	// waiting are the requests that end at once if the node is found to be lost.
	waiting map[*context.CancelCauseFunc]struct{}
}

// errPeerSilent ends requests to a node that does not answer a probe.
var errPeerSilent = errors.New("the node does not answer")

// peers keeps the state of all nodes that this node sends requests to.
type peers struct {
	log *zap.Logger
	// stopping reports whether this node stops.
	stopping func() bool
	mu       sync.Mutex
	states   map[string]*peerState // by address
}

func newPeers(log *zap.Logger, stopping func() bool) *peers {
	return &peers{log: log, stopping: stopping, states: map[string]*peerState{}}
}

func (p *peers) get(address string) *peerState {
	s := p.states[address]
	if s == nil {
		s = &peerState{throttles: map[int]*throttle.Throttle{}, overheads: map[bool]overhead{}, waiting: map[*context.CancelCauseFunc]struct{}{}, pool: httpclient.NewPool(address, httpclient.Config{
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

// begin counts a request that is sent to a node. The returned context ends early if
// mayCut and the node is found to be lost.
func (p *peers) begin(ctx context.Context, address string, usual time.Duration, mayCut bool) (context.Context, func(outcome, error)) {
	ctx, cancel := context.WithCancelCause(ctx)
	started := time.Now()
	p.mu.Lock()
	s := p.get(address)
	s.outstanding++
	if mayCut {
		s.waiting[&cancel] = struct{}{}
	}
	p.mu.Unlock()
	silence := time.AfterFunc(peerSilence+usual, func() { p.check(address, started) })
	return ctx, func(o outcome, err error) {
		silence.Stop()
		p.mu.Lock()
		delete(s.waiting, &cancel)
		p.end(s, o)
		if err != nil && ctx.Err() == nil {
			p.suspectLocked(address, s, err)
		}
		p.mu.Unlock()
	}
}

// end takes the result of a request that begin counted.
func (p *peers) end(s *peerState, o outcome) {
	s.outstanding--
	now := time.Now()
	if o.load.known {
		s.load, s.loadAt, s.seen = o.load, now, now
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

// allow reports whether a request is to be sent to a node, or refused here because the
// backend server beside it refuses most requests of that priority.
func (p *peers) allow(address string, priority, senders int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.get(address)
	t := s.throttles[priority]
	if t == nil {
		t = &throttle.Throttle{}
		s.throttles[priority] = t
	}
	return t.Allow(throttle.DefaultConfig(senders), rand.Float64(), time.Now())
}

// accepted notes that a request was not refused for overload.
func (p *peers) accepted(address string, priority, senders int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.get(address).throttles[priority]; t != nil {
		t.Accepted(throttle.DefaultConfig(senders), time.Now())
	}
}

// check probes a node that owes an answer since started and has given no other.
func (p *peers) check(address string, started time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[address]
	if s == nil || s.seen.After(started) {
		return
	}
	p.probeLocked(address, s)
}

// suspectLocked takes a node that could not be reached for lost until a probe reaches it.
func (p *peers) suspectLocked(address string, s *peerState, cause error) {
	if !s.lost {
		s.lost = true
		var silent time.Duration // 0 if the node never answered
		if !s.seen.IsZero() {
			silent = time.Since(s.seen)
		}
		p.log.Info("node lost", zap.String("address", address), zap.Duration("since its last answer", silent), zap.Error(cause))
	}
	p.probeLocked(address, s)
}

// cutWaiting ends the requests that could run elsewhere. A stopping node ends nothing
// that may be at work.
func (p *peers) cutWaiting(s *peerState) {
	if p.stopping() {
		return
	}
	for cancel := range s.waiting {
		(*cancel)(errPeerSilent)
	}
}

func (p *peers) probeLocked(address string, s *peerState) {
	if s.probing {
		return
	}
	s.probing = true
	go p.probe(address, s)
}

// probe looks whether a node answers, and again until it does or is no longer a member.
func (p *peers) probe(address string, s *peerState) {
	for silent := 0; ; {
		err := ping(s.pool, address)
		p.mu.Lock()
		if err == nil || p.states[address] != s {
			if s.lost {
				p.log.Info("node regained", zap.String("address", address))
			}
			s.probing, s.lost, s.seen = false, false, time.Now()
			p.mu.Unlock()
			return
		}
		p.suspectLocked(address, s, err)
		// A node whose port is closed may be finishing its last requests; one that ended has
		// reset its connections.
		var failure *httpclient.Error
		if !errors.As(err, &failure) || !failure.Refused && !failure.Closed {
			silent++
		}
		if silent == silentProbes {
			p.cutWaiting(s)
		}
		p.mu.Unlock()
		time.Sleep(probeInterval)
	}
}

// ping asks a node for a sign of life.
func ping(pool *httpclient.Pool, address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	resp, err := pool.Do(ctx, httpclient.Exchange{Method: http.MethodGet, URI: pingPath, Host: address, Header: http.Header{}}, nil)
	if err != nil {
		return err
	}
	drain(resp.Body)
	return resp.Body.Close()
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
