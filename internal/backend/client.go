package backend

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/basilway/basilway/verdict"
)

// Notice is a change that the daemon must act on.
type Notice struct {
	// Action is ReportUp, ReportFrozen, ReportResumed, ReportDown or ReportLost.
	Action Action
	Server Announcement
	// Lost are requests whose connection broke when the server went down. Those that
	// break after ReportDown come with ReportLost.
	Lost []LostRequest
}

// Status is a view of the backend server.
type Status struct {
	State  State
	Server Announcement
	// Healthy and Utilization are what the server claims; both may lag or mislead.
	Healthy     bool
	Utilization float64
	// InFlight is the number of requests that wait for the server.
	InFlight int
	// LateWrites counts requests that were written when the lease had ended.
	LateWrites uint64
}

// Client runs requests at the backend server that announced itself. It is safe for
// concurrent use.
type Client struct {
	cfg     Config
	notices chan Notice
	probe   chan struct{}
	wake    chan struct{}
	late    atomic.Uint64

	mu          sync.Mutex
	machine     Machine
	target      *target
	flights     inFlight
	queue       []Notice
	executing   int
	healthy     bool
	utilization float64

	stop   context.Context
	cancel context.CancelFunc
	duties sync.WaitGroup
}

// NewClient returns a client that waits for an announcement. Close ends it.
func NewClient(cfg Config) *Client {
	cfg = cfg.withDefaults()
	c := &Client{
		cfg:     cfg,
		notices: make(chan Notice, maxEvents),
		probe:   make(chan struct{}, 1),
		wake:    make(chan struct{}, 1),
		machine: Machine{FreezeAfter: cfg.FreezeAfter},
		flights: inFlight{running: map[*Request]uint64{}},
	}
	c.stop, c.cancel = context.WithCancel(context.Background())
	c.duties.Go(c.watch)
	c.duties.Go(c.deliver)
	return c
}

// Notices returns the changes in order. The daemon must read it all the time.
func (c *Client) Notices() <-chan Notice { return c.notices }

// Close ends the probes and closes idle connections. Requests in flight go on.
func (c *Client) Close() {
	c.cancel()
	c.duties.Wait()
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
		InFlight: c.executing, LateWrites: c.late.Load(),
	}
	if c.target != nil {
		s.Server = c.target.Announcement
	}
	return s
}

// Announce takes an announcement. A new process gets new connections.
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
	if previous != nil && previous.requests != c.target.requests {
		previous.close()
	}
}

// step feeds the machine.
func (c *Client) step(e Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apply(c.machine.Step(e, time.Now()), c.target)
}

// apply carries out actions; ReportDown is about the ended target. The caller holds c.mu.
func (c *Client) apply(actions []Action, ended *target) {
	for _, action := range actions {
		if action == ProbeNow {
			signal(c.probe)
			continue
		}
		n := Notice{Action: action, Server: c.target.Announcement}
		if action == ReportDown {
			n.Server = ended.Announcement
			n.Lost = c.flights.ended(ended.ProcessID, time.Now(), c.cfg.CrashWindow)
		}
		if action == ReportUp {
			c.flights.resumed(n.Server.ProcessID)
		}
		c.queue = append(c.queue, n)
		signal(c.wake)
	}
}

// Execute runs a request at the backend server. Errors are of type *verdict.Error. A
// request is never sent twice.
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
	res, err := t.execute.Execute(tracker.attach(ctx), connect.NewRequest(r.toWire()))
	if tracker.leaseEnded() {
		c.late.Add(1)
		c.end(&r, nil)
		return Result{}, verdict.New(verdict.MayHaveRun, verdict.ReasonLeaseLost, "the lease ended while the request was written")
	}
	if err != nil {
		failure, event := classify(ctx, err, tracker, t.ProcessID)
		c.end(&r, event)
		return Result{}, failure
	}
	c.end(&r, Answered{ProcessID: t.ProcessID})
	return Result{Payload: res.Msg.GetPayload(), Took: time.Since(start)}, nil
}

// begin registers a request if the server takes requests.
func (c *Client) begin(r *Request) (*target, *verdict.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state := c.machine.State(); state != Up {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBackendDown, "the backend server is %s", state)
	}
	c.flights.add(r, c.target.ProcessID)
	c.executing++
	return c.target, nil
}

// end removes a request and feeds the machine with what its outcome says.
func (c *Client) end(r *Request, e Event) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executing--
	if _, lost := e.(ConnectionLost); lost && c.flights.broken(r, now) {
		c.queue = append(c.queue, Notice{Action: ReportLost, Lost: []LostRequest{lostOf(r)}})
		signal(c.wake)
	}
	c.flights.remove(r)
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
