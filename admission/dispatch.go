package admission

import (
	"time"

	"github.com/basilway/basilway/verdict"
)

// advance rejects what waited too long and starts what may start.
func (c *Controller) advance(now time.Time, out *Actions) {
	for !c.faults.keepExpired {
		e := c.queue.expired(now)
		if e == nil {
			break
		}
		c.rejectQueued(e, e.late, "the request waited too long", now, out)
	}
	for len(c.queue.waiting) > 0 && c.hasSlot(now) {
		e := c.nextToStart(now)
		if e == nil {
			return
		}
		c.queue.remove(e)
		c.unqueue(e)
		if c.faults.loseQueued && e.arrival%7 == 0 {
			c.forget(e)
			continue
		}
		c.start(e, now)
		out.Start = append(out.Start, e.ticket())
		if c.faults.startSameTwice && e.arrival%7 == 0 {
			out.Start = append(out.Start, e.ticket())
		}
	}
}

func (c *Controller) hasSlot(now time.Time) bool {
	return c.inFlight < c.Limit(now) || c.faults.ignoreSlots
}

// nextToStart returns the queued request whose turn it is, or nil if limits of teams
// and classes hold all of them.
func (c *Controller) nextToStart(now time.Time) *entry {
	limit := c.Limit(now)
	if c.faults.keyMayFillAll {
		limit = 0
	}
	var best *entry
	for _, e := range c.queue.waiting {
		if !e.mayStart(&c.classes[e.class]) {
			continue
		}
		if best == nil || (e.before(best, limit) && !c.faults.firstComeFirstServed) {
			best = e
		}
	}
	return best
}

func (e *entry) mayStart(class *bound) bool {
	return e.team.mayStart() && class.mayStart()
}

func (c *Controller) start(e *entry, now time.Time) {
	e.state = entryRunning
	c.inFlight++
	c.classes[e.class].inFlight++
	e.count(1, 0)
	stamp := c.shares.next()
	e.team.stamp, e.key.stamp, e.caller.stamp = stamp, stamp, stamp
	c.drain.progress = now
}

// enqueue adds e and rejects the worst requests while the queue is too long. It
// returns an error, and forgets e, if e itself is rejected.
func (c *Controller) enqueue(e *entry, now time.Time, out *Actions) *verdict.Error {
	if wait := c.expectedWait(e, now); wait > 0 && now.Add(wait).After(e.startBy) {
		c.forget(e)
		return c.overloaded("the queue is longer than the deadline", wait)
	}
	e.state = entryWaiting
	e.count(0, 1)
	c.classes[e.class].queued++
	c.queue.add(e)
	for !c.faults.unboundedQueue {
		victim := c.victim(e)
		if victim == nil {
			break
		}
		c.queue.remove(victim)
		if victim == e {
			wait := c.backlogWait(now)
			c.unqueue(e)
			c.forget(e)
			return c.overloaded("the queue is full", wait)
		}
		c.rejectQueued(victim, verdict.ReasonOverloaded, "the queue is full and others go first", now, out)
	}
	return nil
}

// victim returns the request to reject after e was queued, or nil if all bounds hold.
func (c *Controller) victim(e *entry) *entry {
	switch {
	case e.team.queueOver():
		return c.queue.worst(func(o *entry) bool { return o.team == e.team })
	case c.classes[e.class].queueOver():
		return c.queue.worst(func(o *entry) bool { return o.class == e.class })
	case len(c.queue.waiting) > c.config.MaxQueue && c.faults.firstComeFirstServed:
		return e
	case len(c.queue.waiting) > c.config.MaxQueue && c.faults.rejectHighest:
		return c.queue.waiting[0]
	case len(c.queue.waiting) > c.config.MaxQueue:
		return c.queue.worst(func(*entry) bool { return true })
	default:
		return nil
	}
}

// rejectQueued forgets e, which is no longer in the queue, and reports its rejection.
func (c *Controller) rejectQueued(e *entry, reason verdict.Reason, message string, now time.Time, out *Actions) {
	ticket := e.ticket()
	err := verdict.New(verdict.NotRun, reason, "%s", message)
	if reason != verdict.ReasonDeadline {
		err.RetryAfter = c.clampRetryAfter(c.backlogWait(now))
	}
	c.unqueue(e)
	c.forget(e)
	out.Reject = append(out.Reject, Rejection{Ticket: ticket, Err: err})
}

func (c *Controller) overloaded(message string, wait time.Duration) *verdict.Error {
	err := verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "%s", message)
	err.RetryAfter = c.clampRetryAfter(wait)
	return err
}

// backlogWait estimates the time until all of the queue has started.
func (c *Controller) backlogWait(now time.Time) time.Duration {
	limit := c.Limit(now)
	return c.drain.wait(len(c.queue.waiting), limit, c.inFlight >= limit, now)
}

// expectedWait estimates the time until e, which is not queued yet, would start.
func (c *Controller) expectedWait(e *entry, now time.Time) time.Duration {
	limit := c.Limit(now)
	full := c.inFlight >= limit
	wait := c.drain.wait(c.ahead(e)+1, limit, full, now)
	if own := e.team.limit.InFlight; own > 0 && own < limit {
		wait = max(wait, c.drain.wait(e.team.queued+1, own, full, now))
	}
	return wait
}

// ahead estimates how many queued requests start before e: those of higher classes,
// and of each team in its own class at most as many as its own team has waiting,
// because teams take turns.
func (c *Controller) ahead(e *entry) int {
	pass, n := c.shares.next(), 0
	for _, o := range c.queue.waiting {
		if o.class > e.class {
			n++
			continue
		}
		if o.class < e.class {
			continue
		}
		if o.team.rankPass != pass {
			o.team.rank, o.team.rankPass = 0, pass
		}
		o.team.rank++
		if o.team.rank <= e.team.queued+1 {
			n++
		}
	}
	return n
}

func (c *Controller) newEntry(r Request, t *team, now time.Time) *entry {
	e := c.table.add()
	e.class = r.Class
	e.team = t
	e.key = c.shares.key(t, r.KeyHash)
	e.caller = c.shares.caller(e.key, r.Caller)
	e.arrival = c.shares.next()
	e.startBy, e.late = now.Add(c.config.MaxWait), verdict.ReasonOverloaded
	if !r.Deadline.IsZero() && r.Deadline.Before(e.startBy) {
		e.startBy, e.late = r.Deadline, verdict.ReasonDeadline
	}
	return e
}

func (c *Controller) team(name string, now time.Time) *team {
	t := c.shares.teams[name]
	if t == nil {
		t = &team{name: name, stamp: c.shares.next()}
		t.set(c.limits.team(name), now)
		c.shares.teams[name] = t
	}
	return t
}

// unqueue corrects the counters for e, which left the queue.
func (c *Controller) unqueue(e *entry) {
	c.classes[e.class].queued--
	e.count(0, -1)
}

func (c *Controller) forget(e *entry) {
	c.shares.release(e)
	c.table.remove(e)
}
