package admission

import (
	"time"

	"github.com/basilway/basilway/catalogue"
	"github.com/basilway/basilway/verdict"
)

// Controller admits requests to one backend server. It is not safe for concurrent use.
type Controller struct {
	config    Config
	slots     int
	adaptive  adaptiveLimit
	ramp      ramp
	drain     drainEstimate
	limits    Limits
	classes   [catalogue.ClassCritical + 1]limitUsage
	shares    fairShares
	table     entryTable
	queue     queue
	inFlight  int
	lastSweep time.Time
	mutations mutations
}

// sweepInterval is how often idle teams are removed. Callers choose team names, so this
// bounds the memory that made-up names take.
const sweepInterval = time.Second

// mutations switches off single rules so that tests can show that their checks detect it.
type mutations struct {
	ignoreSlots          bool
	loseQueued           bool
	unboundedQueue       bool
	keepExpired          bool
	rejectHighest        bool
	keyMayFillAll        bool
	firstComeFirstServed bool
	noAdaptiveLimit      bool
	startSameTwice       bool
	ignoreRateLimits     bool
}

// New returns a controller for a server that has not announced itself: it has no slots,
// and requests wait for SetSlots or ServerStarted.
func New(config Config) *Controller {
	c := &Controller{config: config.withDefaults(), shares: newFairShares()}
	c.adaptive = adaptiveLimit{config: c.config, mutations: &c.mutations}
	return c
}

// SetSlots sets the number of requests that the server runs at once. The adaptive limit
// and a ramp in progress continue.
func (c *Controller) SetSlots(slots int, now time.Time) Actions {
	c.slots = max(0, slots)
	c.adaptive.setSlots(c.slots)
	return c.Tick(now)
}

// ServerStarted starts the cold-start ramp of a server process with slots. Requests that
// ran on the previous process still need their End.
func (c *Controller) ServerStarted(slots int, now time.Time) Actions {
	c.ramp = ramp{started: now, startShare: c.config.RampStart, duration: c.config.RampDuration}
	c.adaptive.resetWindow()
	c.adaptive.limit = float64(max(0, slots))
	return c.SetSlots(slots, now)
}

// SetLimits replaces the team and class limits. Requests in flight are not affected.
func (c *Controller) SetLimits(limits Limits, now time.Time) Actions {
	c.limits = limits
	for name, t := range c.shares.teams {
		t.setLimit(limits.team(name), now)
	}
	for class := range c.classes {
		c.classes[class].setLimit(limits.Classes[catalogue.Class(class)], now)
	}
	return c.Tick(now)
}

// Begin decides whether a new request runs, waits or is rejected. The actions concern
// other requests: those affected by the passing of time, and queued requests that are
// rejected in favour of this one.
func (c *Controller) Begin(r Request, now time.Time) (Decision, Actions) {
	var out Actions
	c.advance(now, &out)
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return c.reject(verdict.New(verdict.NotRun, verdict.ReasonDeadline, "the deadline has passed")), out
	}
	if !r.Class.Valid() {
		r.Class = catalogue.ClassBackground
	}
	t, class := c.team(r.Team, now), &c.classes[r.Class]
	if wait := max(t.tokenWait(now), class.tokenWait(now)); wait > 0 && !c.mutations.ignoreRateLimits {
		err := verdict.New(verdict.NotRun, verdict.ReasonRateLimited, "team or class is over its rate")
		return c.reject(err.WithRetryAfter(c.clampRetryAfter(wait))), out
	}
	e := c.newEntry(r, t, now)
	if c.hasSlot(now) && e.mayStart(class) {
		c.start(e, now)
		t.takeToken(now)
		class.takeToken(now)
		return Decision{Kind: Run, Ticket: e.ticket()}, out
	}
	ticket := e.ticket()
	if err := c.enqueue(e, now, &out); err != nil {
		return c.reject(err), out
	}
	t.takeToken(now)
	class.takeToken(now)
	return Decision{Kind: Queued, Ticket: ticket}, out
}

// End records that a running request ended, latency after it was sent. A ticket that is
// not running is ignored.
func (c *Controller) End(ticket Ticket, latency time.Duration, outcome Outcome, now time.Time) Actions {
	var out Actions
	e := c.table.get(ticket, entryRunning)
	if e == nil {
		return out
	}
	c.inFlight--
	c.classes[e.class].inFlight--
	e.addCounts(-1, 0)
	c.forget(e)
	c.drain.lastProgress = now
	switch outcome {
	case Completed, TimedOut:
		c.drain.observe(latency)
		if _, ramping := c.ramp.limit(c.slots, now); !ramping {
			c.adaptive.observe(latency, now)
		}
	case Failed:
		c.drain.observe(latency)
	}
	c.advance(now, &out)
	return out
}

// Cancel removes a queued request and reports whether it was still queued. A request that
// has already started needs End.
func (c *Controller) Cancel(ticket Ticket, now time.Time) (bool, Actions) {
	var out Actions
	e := c.table.get(ticket, entryWaiting)
	if e != nil {
		c.queue.remove(e)
		c.countDequeued(e)
		c.forget(e)
	}
	c.advance(now, &out)
	return e != nil, out
}

// Tick applies the passing of time: it rejects requests that waited too long, starts others
// that a ramp makes room for, and removes idle teams. Call it at NextTick, and at least
// every second.
func (c *Controller) Tick(now time.Time) Actions {
	var out Actions
	c.advance(now, &out)
	if now.Sub(c.lastSweep) >= sweepInterval {
		c.lastSweep = now
		for name, t := range c.shares.teams {
			if t.idle(now) {
				delete(c.shares.teams, name)
			}
		}
	}
	return out
}

// NextTick returns the time by which a queued request must be started or rejected. The
// time may be too early. It returns false if no request is queued.
func (c *Controller) NextTick() (time.Time, bool) {
	return c.queue.nextExpiry, len(c.queue.waiting) > 0
}

// Limit returns the number of requests that may be in flight now.
func (c *Controller) Limit(now time.Time) int {
	if c.slots == 0 {
		return 0
	}
	ramp, _ := c.ramp.limit(c.slots, now)
	return min(ramp, max(1, int(c.adaptive.limit)))
}

// Stats returns a snapshot for metrics.
func (c *Controller) Stats(now time.Time) Stats {
	return Stats{
		Slots:           c.slots,
		Limit:           c.Limit(now),
		InFlight:        c.inFlight,
		Queued:          len(c.queue.waiting),
		BaselineLatency: time.Duration(c.adaptive.baseline * float64(time.Second)),
	}
}

func (c *Controller) reject(err *verdict.Error) Decision {
	return Decision{Kind: Rejected, Err: err}
}

func (c *Controller) clampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, c.config.MinRetryAfter), c.config.MaxRetryAfter)
}
