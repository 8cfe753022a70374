package backend

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/basilway/basilway/verdict"
)

// Notice tells the daemon about a change that it must act on.
type Notice struct {
	// Action is one of ReportUp, ReportFrozen, ReportResumed, ReportDown and ReportLost.
	Action Action
	Server Announcement
	// Lost are the requests whose connection broke shortly before the server went down.
	// Requests whose connection breaks after ReportDown follow in ReportLost.
	Lost []LostRequest
}

// Status is a snapshot of what the Client knows about the backend server.
type Status struct {
	State  State
	Server Announcement
	// Healthy and Utilization are as the server last reported them; both may be outdated
	// or wrong.
	Healthy     bool
	Utilization float64
	// InFlight is the number of requests in flight to the server.
	InFlight int
	// LateWrites counts requests that may have been written after the lease had ended.
	LateWrites uint64
}

// Client sends requests to the backend server that announced itself. It is safe for
// concurrent use.
type Client struct {
	cfg          Config
	notices      chan Notice
	probeNow     chan struct{}
	noticesReady chan struct{}
	lateWrites   atomic.Uint64

	mu             sync.Mutex
	machine        Machine
	target         *target
	inFlight       requestTracker
	pendingNotices []Notice
	executing      int
	healthy        bool
	utilization    float64

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// NewClient returns a client that waits for an announcement. Close it to stop its
// goroutines.
func NewClient(cfg Config) *Client {
	cfg = cfg.withDefaults()
	c := &Client{
		cfg:          cfg,
		notices:      make(chan Notice, noticeBufferSize),
		probeNow:     make(chan struct{}, 1),
		noticesReady: make(chan struct{}, 1),
		machine:      Machine{FreezeAfter: cfg.FreezeAfter},
		inFlight:     requestTracker{running: map[*Request]uint64{}},
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.wg.Go(c.probeLoop)
	c.wg.Go(c.deliverNotices)
	return c
}

// Notices returns the channel of notices, in order. The daemon must keep reading it.
func (c *Client) Notices() <-chan Notice { return c.notices }

// Close stops the probes and closes idle connections. Requests in flight continue.
func (c *Client) Close() {
	c.cancel()
	c.wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.target != nil {
		c.target.close()
	}
}

// Status returns the current view of the server.
func (c *Client) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Status{
		State: c.machine.State(), Healthy: c.healthy, Utilization: c.utilization,
		InFlight: c.executing, LateWrites: c.lateWrites.Load(),
	}
	if c.target != nil {
		s.Server = c.target.Announcement
	}
	return s
}

// Announce handles an announcement. A new process or URL gets new connections.
func (c *Client) Announce(a Announcement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.target
	actions := c.machine.Step(Announced{ProcessID: a.ProcessID}, time.Now())
	switch {
	case previous == nil || previous.ProcessID != a.ProcessID || previous.URL != a.URL:
		c.target = newTarget(a, c.cfg)
	case previous.Announcement != a:
		changed := *previous
		changed.Announcement = a
		c.target = &changed
	}
	c.apply(actions, previous)
	if previous != nil && previous.requestTransport != c.target.requestTransport {
		previous.close()
	}
}

// step passes an event to the state machine and carries out the resulting actions.
func (c *Client) step(e Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apply(c.machine.Step(e, time.Now()), c.target)
}

// apply carries out actions. ReportDown is about ended, the target before the event; the
// other actions are about c.target. The caller holds c.mu.
func (c *Client) apply(actions []Action, ended *target) {
	for _, action := range actions {
		if action == ProbeNow {
			signal(c.probeNow)
			continue
		}
		n := Notice{Action: action, Server: c.target.Announcement}
		if action == ReportDown {
			n.Server = ended.Announcement
			n.Lost = c.inFlight.processEnded(ended.ProcessID, time.Now(), c.cfg.CrashWindow)
		}
		if action == ReportUp {
			c.inFlight.processResumed(n.Server.ProcessID)
		}
		c.pendingNotices = append(c.pendingNotices, n)
		signal(c.noticesReady)
	}
}

// Execute sends a request to the backend server and returns its response. Errors are of
// type *verdict.Error. A request is never sent twice.
func (c *Client) Execute(ctx context.Context, r Request) (Result, error) {
	start := time.Now()
	t, refusal := c.begin(&r)
	if refusal != nil {
		return Result{}, refusal
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !r.owned() {
		c.end(&r, nil)
		return Result{}, verdict.New(verdict.NotRun, verdict.ReasonLeaseLost, "the lease has ended")
	}
	if ctx.Err() != nil {
		c.end(&r, nil)
		failure, _ := classify(ctx, ctx.Err(), &writeTracker{}, t.ProcessID)
		return Result{}, failure
	}
	tracker := &writeTracker{owned: r.owned, cancel: cancel}
	res, err := t.requestClient.Execute(tracker.attach(ctx), connect.NewRequest(r.toWire()))
	if tracker.leaseEnded() {
		c.lateWrites.Add(1)
		c.end(&r, nil)
		return Result{}, verdict.New(verdict.MayHaveRun, verdict.ReasonLeaseLost, "the lease ended while the request was written")
	}
	if err != nil {
		failure, event := classify(ctx, err, tracker, t.ProcessID)
		c.end(&r, event)
		return Result{}, failure
	}
	c.end(&r, Responded{ProcessID: t.ProcessID})
	return Result{Payload: res.Msg.GetPayload(), Duration: time.Since(start)}, nil
}

// begin registers a request, or returns an error if the server is not up.
func (c *Client) begin(r *Request) (*target, *verdict.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state := c.machine.State(); state != Up {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBackendDown, "the backend server is %s", state)
	}
	c.inFlight.add(r, c.target.ProcessID)
	c.executing++
	return c.target, nil
}

// end removes a request and passes e, the event that its outcome implies, to the state
// machine; e may be nil.
func (c *Client) end(r *Request, e Event) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executing--
	if _, lost := e.(ConnectionLost); lost && c.inFlight.connectionLost(r, now) {
		c.pendingNotices = append(c.pendingNotices, Notice{Action: ReportLost, Lost: []LostRequest{newLostRequest(r)}})
		signal(c.noticesReady)
	}
	c.inFlight.remove(r)
	if e != nil {
		c.apply(c.machine.Step(e, now), c.target)
	}
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
