package admission

import (
	"time"

	"github.com/basilway/basilway/verdict"
)

// advance rejects queued requests that waited too long and starts those that may start.
func (c *Controller) advance(now time.Time, out *Actions) {
	for !c.mutations.keepExpired {
		e := c.queue.popExpired(now)
		if e == nil {
			break
		}
		c.rejectQueued(e, e.expiryReason, "the request waited too long", now, out)
	}
	for len(c.queue.waiting) > 0 && c.hasSlot(now) {
		e := c.nextToStart(now)
		if e == nil {
			return
		}
		c.queue.remove(e)
		c.countDequeued(e)
		if c.mutations.loseQueued && e.arrival%7 == 0 {
			c.forget(e)
			continue
		}
		c.start(e, now)
		out.Start = append(out.Start, e.ticket())
		if c.mutations.startSameTwice && e.arrival%7 == 0 {
			out.Start = append(out.Start, e.ticket())
		}
	}
}

func (c *Controller) hasSlot(now time.Time) bool {
	return c.inFlight < c.Limit(now) || c.mutations.ignoreSlots
}

// nextToStart returns the queued request to start next, or nil if the limits of teams and
// classes hold back all of them.
func (c *Controller) nextToStart(now time.Time) *entry {
	limit := c.Limit(now)
	if c.mutations.keyMayFillAll {
		limit = 0
	}
	var best *entry
	for _, e := range c.queue.waiting {
		if !e.mayStart(&c.classes[e.class]) {
			continue
		}
		if best == nil || (e.startsBefore(best, limit) && !c.mutations.firstComeFirstServed) {
			best = e
		}
	}
	return best
}

func (e *entry) mayStart(class *limitUsage) bool {
	return e.team.mayStart() && class.mayStart()
}

func (c *Controller) start(e *entry, now time.Time) {
	e.state = entryRunning
	c.inFlight++
	c.classes[e.class].inFlight++
	e.addCounts(1, 0)
	sequence := c.shares.nextSequence()
	e.team.lastStart, e.key.lastStart, e.caller.lastStart = sequence, sequence, sequence
	c.drain.lastProgress = now
}

// enqueue adds e and sheds requests while a queue limit is exceeded. It returns an error,
// and forgets e, if e itself is rejected.
func (c *Controller) enqueue(e *entry, now time.Time, out *Actions) *verdict.Error {
	if wait := c.expectedWait(e, now); wait > 0 && now.Add(wait).After(e.startBy) {
		c.forget(e)
		return c.overloaded("the queue is longer than the deadline", wait)
	}
	e.state = entryWaiting
	e.addCounts(0, 1)
	c.classes[e.class].queued++
	c.queue.add(e)
	for !c.mutations.unboundedQueue {
		shed := c.nextToShed(e)
		if shed == nil {
			break
		}
		c.queue.remove(shed)
		if shed == e {
			wait := c.backlogWait(now)
			c.countDequeued(e)
			c.forget(e)
			return c.overloaded("the queue is full", wait)
		}
		c.rejectQueued(shed, verdict.ReasonOverloaded, "the queue is full and others go first", now, out)
	}
	return nil
}

// nextToShed returns the request to reject after e was queued, or nil if all queue limits
// hold.
func (c *Controller) nextToShed(e *entry) *entry {
	switch {
	case e.team.overQueueLimit():
		return c.queue.firstToShed(func(o *entry) bool { return o.team == e.team })
	case c.classes[e.class].overQueueLimit():
		return c.queue.firstToShed(func(o *entry) bool { return o.class == e.class })
	case len(c.queue.waiting) > c.config.MaxQueue && c.mutations.firstComeFirstServed:
		return e
	case len(c.queue.waiting) > c.config.MaxQueue && c.mutations.rejectHighest:
		return c.queue.waiting[0]
	case len(c.queue.waiting) > c.config.MaxQueue:
		return c.queue.firstToShed(func(*entry) bool { return true })
	default:
		return nil
	}
}

// rejectQueued forgets e, which is no longer in the queue, and adds its rejection to out.
func (c *Controller) rejectQueued(e *entry, reason verdict.Reason, message string, now time.Time, out *Actions) {
	ticket := e.ticket()
	err := verdict.New(verdict.NotRun, reason, "%s", message)
	if reason != verdict.ReasonDeadline {
		err.RetryAfter = c.clampRetryAfter(c.backlogWait(now))
	}
	c.countDequeued(e)
	c.forget(e)
	out.Reject = append(out.Reject, Rejection{Ticket: ticket, Err: err})
}

func (c *Controller) overloaded(message string, wait time.Duration) *verdict.Error {
	err := verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "%s", message)
	err.RetryAfter = c.clampRetryAfter(wait)
	return err
}

// backlogWait estimates the time until all queued requests have started.
func (c *Controller) backlogWait(now time.Time) time.Duration {
	limit := c.Limit(now)
	return c.drain.wait(len(c.queue.waiting), limit, c.inFlight >= limit, now)
}

// expectedWait estimates the time until e, which is not queued yet, would start.
func (c *Controller) expectedWait(e *entry, now time.Time) time.Duration {
	limit := c.Limit(now)
	full := c.inFlight >= limit
	wait := c.drain.wait(c.queuedAhead(e)+1, limit, full, now)
	if teamLimit := e.team.limit.InFlight; teamLimit > 0 && teamLimit < limit {
		wait = max(wait, c.drain.wait(e.team.queued+1, teamLimit, full, now))
	}
	return wait
}

// queuedAhead estimates how many queued requests start before e: all of higher classes, and
// of each team in e's class at most as many as e's team will have queued with e, because
// teams take turns.
func (c *Controller) queuedAhead(e *entry) int {
	pass, n := c.shares.nextSequence(), 0
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
	e.arrival = c.shares.nextSequence()
	e.startBy, e.expiryReason = now.Add(c.config.MaxWait), verdict.ReasonOverloaded
	if !r.Deadline.IsZero() && r.Deadline.Before(e.startBy) {
		e.startBy, e.expiryReason = r.Deadline, verdict.ReasonDeadline
	}
	return e
}

func (c *Controller) team(name string, now time.Time) *team {
	t := c.shares.teams[name]
	if t == nil {
		t = &team{name: name, lastStart: c.shares.nextSequence()}
		t.setLimit(c.limits.team(name), now)
		c.shares.teams[name] = t
	}
	return t
}

// countDequeued updates the counters for e, which left the queue.
func (c *Controller) countDequeued(e *entry) {
	c.classes[e.class].queued--
	e.addCounts(0, -1)
}

func (c *Controller) forget(e *entry) {
	c.shares.release(e)
	c.table.remove(e)
}
