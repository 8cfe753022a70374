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
	"github.com/basilway/basilway/placement"
	"github.com/basilway/basilway/throttle"
	"github.com/basilway/basilway/verdict"
)

const (
	// peerDialTimeout bounds dialing a peer. It covers many round trips between the farthest
	// availability zones of a region and is short compared to a target latency.
	peerDialTimeout = 150 * time.Millisecond
	// peerUserTimeout is the TCP user timeout: how long a peer may leave sent bytes
	// unacknowledged before the connection is closed. It detects peers that became
	// unreachable with requests in flight.
	peerUserTimeout = 1500 * time.Millisecond
	// peerIdleTimeout is how long an idle connection to a peer is kept.
	peerIdleTimeout = 20 * time.Second
	// probeDelay is the time beyond the expected work of a request after which a peer is
	// probed if it has responded neither to this request nor to another one since.
	probeDelay = 200 * time.Millisecond
	// probeTimeout bounds a probe of a peer, whose CPU may be busy, and probeInterval is the
	// pause between two probes of an unreachable peer.
	probeTimeout  = 250 * time.Millisecond
	probeInterval = 150 * time.Millisecond
	// maxUnansweredProbes is the number of probes without a response after which requests
	// that could run elsewhere are cancelled. One may be late because the peer's CPU is busy.
	maxUnansweredProbes = 2
	// maxRoomWait bounds the time for which others are preferred to a backend server whose
	// limit is used up; the limit may end before.
	maxRoomWait = time.Second
	// failureWeight is the weight of one result in the failure rate of a backend server.
	failureWeight = 0.1
	// workWeight is the weight of one measurement in the mean time on a backend server.
	workWeight = 0.05
)

// peerState is what this node has observed of a peer and its backend server.
type peerState struct {
	pool        *httpclient.Pool
	load        peerLoad
	loadAt      time.Time
	outstanding int
	failureRate float64
	// slowness is the time of requests on the backend server relative to the mean of their
	// route over all backend servers; 0 if it is not known.
	slowness float64
	// refusals are the recent refusals of the backend server because of overload.
	refusals placement.Refusals
	// roomAt is when the backend server expects to be able to take a request within the limit
	// that it named.
	roomAt time.Time
	// throttles, by priority, hold back requests to an overloaded backend server.
	throttles map[int]*throttle.Throttle
	// overheads are the response times beyond the work of the backend server (queueing,
	// network latency, a saturated link), by whether responses are large.
	overheads map[bool]overhead
	// compact is set if the peer understands compact messages, which its responses tell. After it
	// refused one, it gets none until compactAt.
	compact   bool
	compactAt time.Time
	// questionsAt is until when the peer is not asked whether it would admit a request.
	questionsAt time.Time
	// lastSeen is when the peer last responded.
	lastSeen time.Time
	// lost is set while the peer is unreachable, and probing while it is being probed.
	lost, probing bool
	// cancels are the cancel functions of the requests that are cancelled if the peer does
	// not respond to probes.
	cancels map[*context.CancelCauseFunc]struct{}
}

// errPeerSilent is the cancellation cause of requests to a peer that does not respond to
// probes.
var errPeerSilent = errors.New("the node does not answer")

// peers keeps the state of all nodes that this node sends requests to.
type peers struct {
	log *zap.Logger
	// stopping reports whether this node is stopping.
	stopping func() bool
	// counter returns what counts the bytes of an exchange with a peer; nil if they are not
	// counted.
	counter func(address string, purpose peerPurpose) func(written, read int)
	mu      sync.Mutex
	states  map[string]*peerState // by address
}

func newPeers(log *zap.Logger, stopping func() bool) *peers {
	return &peers{log: log, stopping: stopping, states: map[string]*peerState{}}
}

// getLocked returns the state of a peer and creates it if needed. p.mu must be held, as for
// all methods whose names end in Locked.
func (p *peers) getLocked(address string) *peerState {
	s := p.states[address]
	if s == nil {
		s = &peerState{throttles: map[int]*throttle.Throttle{}, overheads: map[bool]overhead{}, cancels: map[*context.CancelCauseFunc]struct{}{}, pool: httpclient.NewPool(address, httpclient.Config{
			DialTimeout: peerDialTimeout, UserTimeout: peerUserTimeout, IdleTimeout: peerIdleTimeout, MaxIdle: 64, ReadBuffer: 4096,
		})}
		p.states[address] = s
	}
	return s
}

// count returns what counts the bytes of an exchange with a peer, or nil.
func (p *peers) count(address string, purpose peerPurpose) func(written, read int) {
	if p.counter == nil {
		return nil
	}
	return p.counter(address, purpose)
}

// pool returns the connection pool of a peer.
func (p *peers) pool(address string) *httpclient.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.getLocked(address).pool
}

// beginRequest counts a request to a peer as outstanding. If cancellable, the returned
// context is cancelled when the peer does not respond to probes. The caller must call the
// returned function with the result.
func (p *peers) beginRequest(ctx context.Context, address string, expectedWork time.Duration, cancellable bool) (context.Context, func(outcome, error)) {
	ctx, cancel := context.WithCancelCause(ctx)
	started := time.Now()
	p.mu.Lock()
	s := p.getLocked(address)
	s.outstanding++
	if cancellable {
		s.cancels[&cancel] = struct{}{}
	}
	p.mu.Unlock()
	probeTimer := time.AfterFunc(probeDelay+expectedWork, func() { p.probeIfSilent(address, started) })
	return ctx, func(o outcome, err error) {
		probeTimer.Stop()
		p.mu.Lock()
		delete(s.cancels, &cancel)
		p.recordResultLocked(s, o, expectedWork)
		if err != nil {
			s.compact = false // an older version may have been started
		}
		if err != nil && ctx.Err() == nil {
			p.markLostLocked(address, s, err)
		}
		p.mu.Unlock()
	}
}

// recordResultLocked records the result of a request that beginRequest counted.
func (p *peers) recordResultLocked(s *peerState, o outcome, expectedWork time.Duration) {
	s.outstanding--
	now := time.Now()
	s.recordRoom(o, now)
	if o.load.known {
		s.load, s.loadAt, s.lastSeen = o.load, now, now
		if o.load.work > 0 {
			s.observeSlowness(o.load.usualWork(), expectedWork)
		}
	}
	if o.arrived {
		failed := 0.0
		if o.err != nil || o.resp.StatusCode >= 500 {
			failed = 1
		}
		s.failureRate += failureWeight * (failed - s.failureRate)
	}
}

// recordRoom records whether a request was refused because of overload or the backend server's
// limit.
func (s *peerState) recordRoom(o outcome, now time.Time) {
	overloaded := o.err != nil && (o.err.Reason == verdict.ReasonOverloaded || o.err.Reason == verdict.ReasonRateLimited)
	s.refusals.Observe(overloaded, now)
	if o.err != nil && o.err.Reason == verdict.ReasonRateLimited {
		s.roomAt = now.Add(min(o.err.RetryAfter, maxRoomWait))
	}
}

// recordLocalRoom records the result of a request to the local backend server.
func (p *peers) recordLocalRoom(address string, o outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.getLocked(address).recordRoom(o, time.Now())
}

// hasRoom reports whether a backend server is expected to take a request within its limit.
func (p *peers) hasRoom(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[address]
	return s == nil || !time.Now().Before(s.roomAt)
}

// refusedFormPause is how long a peer gets no compact messages after it refused one. Two nodes
// get a new desired state within about that time of each other.
const refusedFormPause = 300 * time.Millisecond

// acceptsCompact reports whether a peer is expected to accept compact messages.
func (p *peers) acceptsCompact(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[address]
	return s != nil && s.compact && !time.Now().Before(s.compactAt)
}

// learnCompact records that a peer understands compact messages.
func (p *peers) learnCompact(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.getLocked(address).compact = true
}

// refusedCompact records that a peer did not accept a compact message.
func (p *peers) refusedCompact(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.getLocked(address).compactAt = time.Now().Add(refusedFormPause)
}

// allow reports whether to send a request to a peer. If the peer's backend server refuses most
// requests of a priority, allow returns false for a share of them.
func (p *peers) allow(address string, priority, senders int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.getLocked(address)
	t := s.throttles[priority]
	if t == nil {
		t = &throttle.Throttle{}
		s.throttles[priority] = t
	}
	return t.Allow(throttle.DefaultConfig(senders), rand.Float64(), time.Now())
}

// recordAccepted tells the throttle that a request was not refused for overload.
func (p *peers) recordAccepted(address string, priority, senders int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.getLocked(address).throttles[priority]; t != nil {
		t.Accepted(throttle.DefaultConfig(senders), time.Now())
	}
}

// probeIfSilent probes a peer that has not responded since started.
func (p *peers) probeIfSilent(address string, started time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[address]
	if s == nil || s.lastSeen.After(started) {
		return
	}
	p.startProbeLocked(address, s)
}

// markLostLocked marks a peer as lost and probes it until it responds.
func (p *peers) markLostLocked(address string, s *peerState, cause error) {
	s.compact = false
	if !s.lost {
		s.lost = true
		var silent time.Duration // 0 if the peer never responded
		if !s.lastSeen.IsZero() {
			silent = time.Since(s.lastSeen)
		}
		p.log.Info("peer lost", zap.String("address", address), zap.Duration("since its last answer", silent), zap.Error(cause))
	}
	p.startProbeLocked(address, s)
}

// cancelRequestsLocked cancels the requests that could run elsewhere. A stopping node cancels
// nothing that may be running.
func (p *peers) cancelRequestsLocked(s *peerState) {
	if p.stopping() {
		return
	}
	for cancel := range s.cancels {
		(*cancel)(errPeerSilent)
	}
}

func (p *peers) startProbeLocked(address string, s *peerState) {
	if s.probing {
		return
	}
	s.probing = true
	go p.probeUntilReachable(address, s)
}

// probeUntilReachable probes a peer until it responds or is no longer a member.
func (p *peers) probeUntilReachable(address string, s *peerState) {
	for unanswered := 0; ; {
		err := p.ping(s.pool, address)
		p.mu.Lock()
		if err == nil || p.states[address] != s {
			if s.lost {
				p.log.Info("peer reachable again", zap.String("address", address))
			}
			s.probing, s.lost, s.lastSeen = false, false, time.Now()
			p.mu.Unlock()
			return
		}
		p.markLostLocked(address, s, err)
		// A peer with a closed port may be finishing its last requests. If it has ended, its
		// connections were reset, which ends their requests.
		var failure *httpclient.Error
		if !errors.As(err, &failure) || !failure.Refused && !failure.Closed {
			unanswered++
		}
		if unanswered == maxUnansweredProbes {
			p.cancelRequestsLocked(s)
		}
		p.mu.Unlock()
		time.Sleep(probeInterval)
	}
}

// ping checks that a peer responds to HTTP requests.
func (p *peers) ping(pool *httpclient.Pool, address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	started := time.Now()
	resp, err := pool.Do(ctx, httpclient.Exchange{Method: http.MethodGet, URI: pingPath, Host: address, Header: http.Header{}, Count: p.count(address, callPurpose(pingPath))}, nil)
	if err != nil {
		pool.CloseIdle(started)
		return err
	}
	discardBody(resp.Body)
	return resp.Body.Close()
}

// retain drops the peers that are not in addresses and have no outstanding requests.
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

// maxSlowness bounds the effect of one slow request.
const maxSlowness = 5

// observeSlowness adds a measurement to the slowness. A server that gets more of the slow
// routes than others is not slower for that, so times are compared with those of their route.
func (s *peerState) observeSlowness(work, expectedWork time.Duration) {
	if s.slowness == 0 {
		s.slowness = 1
	}
	ratio := float64(work) / float64(max(expectedWork, time.Millisecond))
	s.slowness += workWeight * (min(ratio, maxSlowness) - s.slowness)
}

// smooth returns the moving average after a measurement. A mean of 0 has no measurements yet.
func smooth(mean, measured time.Duration) time.Duration {
	if mean == 0 {
		return measured
	}
	return mean + time.Duration(workWeight*float64(measured-mean))
}
