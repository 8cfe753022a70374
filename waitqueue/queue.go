package waitqueue

import (
	"maps"
	"slices"
	"time"
)

// waiting is a queued request with its expected time on the backend server.
type waiting struct {
	Item
	work time.Duration
	// class is the priority class that the request is treated as.
	class priorityClass
}

func (w waiting) priorityClass() priorityClass { return w.class }

// meetsTarget reports whether the request is answered by its target if it starts at now.
func (w waiting) meetsTarget(now time.Time) bool { return !now.Add(w.work).After(w.Target) }

// running is a request on the backend server.
type running struct {
	route   string
	started time.Time
	work    time.Duration
}

// Queue is the request queue of one backend server. It is not safe for concurrent use.
//
// Requests of a higher priority class run first. Within a class, requests that can still
// meet their target run before those that will miss it anyway, so that a backlog does not
// make every request late. The former are ordered by target, the latter by deadline. A
// request that would miss its target is admitted only if it is expected to end well before
// its deadline, counting requests that arrive later and overtake it.
type Queue struct {
	config   Config
	slots    int
	running  map[ID]running
	waiting  []waiting
	work     map[string]time.Duration
	arrivals map[priorityClass]*arrivalRate
	rate     rateLimit
	// speed is the backend server's present speed relative to the one at which work was measured.
	speed float64
	// declinedShare is the share of requests that the backend server refuses at once. They
	// do not delay the requests behind them.
	declinedShare float64
	// reviewedAt is when the queue was last checked for requests that wait in vain.
	reviewedAt time.Time
}

// New returns a queue for a backend server without slots. Requests wait until SetSlots is
// called.
func New(config Config) *Queue {
	return &Queue{config: config, speed: 1, running: map[ID]running{}, work: map[string]time.Duration{}, arrivals: map[priorityClass]*arrivalRate{}}
}

// SetSlots sets how many requests the backend server runs at once and returns the decisions
// that follow from it.
func (q *Queue) SetSlots(slots int, now time.Time) []Decision {
	q.slots = slots
	return q.Advance(now)
}

// Running returns the number of requests on the backend server.
func (q *Queue) Running() int { return len(q.running) }

// Waiting returns the number of queued requests.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Slots returns the number of requests that the backend server runs at once.
func (q *Queue) Slots() int { return q.slots }

// Work returns the expected time of a request of route on the backend server.
func (q *Queue) Work(route string) time.Duration {
	w, ok := q.work[route]
	if !ok {
		w = q.config.InitialWork
	}
	if q.speed != 1 {
		w = time.Duration(float64(w) / q.speed)
	}
	return w
}

// WorkByRoute returns a copy of the times of all measured routes at the server's usual speed.
func (q *Queue) WorkByRoute() map[string]time.Duration { return maps.Clone(q.work) }

// Offer decides on a new request. It also returns the decisions on waiting requests that
// follow from the time that has passed.
func (q *Queue) Offer(it Item, now time.Time) (Decision, []Decision) {
	others := q.Advance(now)
	w := waiting{Item: it, work: q.Work(it.Route), class: it.priorityClass()}
	if q.rate.cold.starved(w.class, now) {
		w.class = starvedClass
	}
	ahead := q.aheadInRate(w, now)
	kept := q.rate.turns.claim(it.Fingerprint, now)
	if !q.rate.admits(w.priorityClass(), ahead, kept, now) {
		return q.refuseForRate(w, ahead, now), others
	}
	free := len(q.running) < q.slots && len(q.waiting) == 0
	wait := time.Duration(0)
	if !free {
		wait = q.expectedWait(w, now)
	}
	// Only admitted work counts as arrived, because a refused request may be sent again.
	if !q.admit(w, wait, free, now) {
		return q.refuse(it.ID, wait), others
	}
	r := q.arrivals[it.priorityClass()]
	if r == nil {
		r = &arrivalRate{}
		q.arrivals[it.priorityClass()] = r
	}
	r.add(w.work, now)
	q.rate.cold.recordServed(it.priorityClass(), now)
	if free && q.rate.take(now) {
		q.start(w, now)
		return Decision{ID: it.ID, Action: Run}, others
	}
	q.waiting = append(q.waiting, w)
	return Decision{ID: it.ID, Action: Wait}, others
}

// admit reports whether w runs or waits rather than being refused at once.
func (q *Queue) admit(w waiting, wait time.Duration, free bool, now time.Time) bool {
	if free || q.slots == 0 {
		return now.Add(w.work / 2).Before(w.Deadline)
	}
	if len(q.waiting) >= q.config.MaxWaiting {
		return false
	}
	end := now.Add(wait + time.Duration(float64(w.work)*(1+q.config.WorkMargin)))
	if !end.After(w.Target) {
		return true
	}
	// The queue may take longer than expected, and a refusal after a long wait is worse than
	// one at once.
	left := w.Deadline.Sub(now)
	return end.Before(now.Add(time.Duration(q.config.DeadlineFraction * float64(left))))
}

// before reports whether w runs before o, as of now.
func (w waiting) before(o waiting, now time.Time) bool {
	if a, b := w.priorityClass(), o.priorityClass(); a != b {
		return a.precedes(b)
	}
	a, b := w.meetsTarget(now), o.meetsTarget(now)
	switch {
	case a != b:
		return a
	case a:
		return w.Target.Before(o.Target)
	default:
		return w.Deadline.Before(o.Deadline)
	}
}

// maxOvertakingShare limits the share of the slots that is assumed to be used by requests that
// arrive later and overtake others, so that the expected wait stays finite.
const maxOvertakingShare = 0.95

// expectedWait returns how long w would wait for the running requests, the waiting requests
// that run before it, and the requests that arrive later and overtake it.
func (q *Queue) expectedWait(w waiting, now time.Time) time.Duration {
	if q.slots == 0 {
		return 0
	}
	ahead := q.remainingWork(now)
	for _, o := range q.waiting {
		if o.before(w, now) {
			ahead += q.expectedWork(o.work)
		}
	}
	return time.Duration(float64(ahead) / q.freeSlots(w, ahead, now))
}

func (q *Queue) refuse(id ID, wait time.Duration) Decision {
	after := min(max(wait, q.config.MinRetryAfter), q.config.MaxRetryAfter)
	return Decision{ID: id, Action: Refuse, RetryAfter: after, Expected: wait}
}

func (q *Queue) start(w waiting, now time.Time) {
	q.rate.cold.record(w.ID, now)
	q.running[w.ID] = running{route: w.Route, started: now, work: w.work}
}

// Done ends a running request and returns the decisions that follow. The time of a completed
// request updates the estimate for its route.
func (q *Queue) Done(id ID, result Result, now time.Time) []Decision {
	if r, ok := q.running[id]; ok {
		delete(q.running, id)
		declined := 0.0
		if result == Declined {
			declined = 1
		}
		q.declinedShare += q.config.Smoothing * (declined - q.declinedShare)
		if result == Completed && q.speed >= usualSpeed {
			took := now.Sub(r.started)
			if q.speed != 1 {
				took = time.Duration(float64(took) * q.speed)
			}
			if old, known := q.work[r.route]; known {
				took = old + time.Duration(float64(took-old)*q.config.Smoothing)
			}
			q.work[r.route] = took
		}
	}
	return q.Advance(now)
}

// Cancel removes a waiting request. It reports whether the request was waiting.
func (q *Queue) Cancel(id ID) bool {
	at := slices.IndexFunc(q.waiting, func(w waiting) bool { return w.ID == id })
	if at < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return true
}

// review refuses waiting requests that are no longer expected to end before their deadline.
// The estimate on their arrival may have been wrong: the backend server became slower, or
// more requests that run first arrived.
func (q *Queue) review(now time.Time) []Decision {
	if q.config.ReviewInterval == 0 || q.slots == 0 || now.Sub(q.reviewedAt) < q.config.ReviewInterval {
		return nil
	}
	q.reviewedAt = now
	q.sortWaiting(now)
	var out []Decision
	ahead := q.remainingWork(now)
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		wait := time.Duration(float64(ahead) / q.freeSlots(w, ahead, now))
		if now.Add(wait + w.work).After(w.Deadline) {
			out = append(out, q.refuse(w.ID, wait))
			continue
		}
		ahead += q.expectedWork(w.work)
		kept = append(kept, w)
	}
	q.waiting = kept
	return out
}

// sortWaiting sorts the waiting requests in the order in which they run.
func (q *Queue) sortWaiting(now time.Time) {
	slices.SortStableFunc(q.waiting, func(a, b waiting) int {
		switch {
		case a.before(b, now):
			return -1
		case b.before(a, now):
			return 1
		default:
			return 0
		}
	})
}

// expectedWork returns the mean time that a request with the given work takes, counting
// declined requests as taking no time.
func (q *Queue) expectedWork(work time.Duration) time.Duration {
	return time.Duration(float64(work) * (1 - q.declinedShare))
}

// remainingWork returns the total expected remaining time of the running requests. Each counts
// with at least a quarter of its expected time.
func (q *Queue) remainingWork(now time.Time) time.Duration {
	var left time.Duration
	for _, r := range q.running {
		left += max(r.work-now.Sub(r.started), r.work/4)
	}
	return left
}

// freeSlots returns the number of slots left for w and the work ahead of it, without those
// taken by requests that arrive later and overtake w.
func (q *Queue) freeSlots(w waiting, ahead time.Duration, now time.Time) float64 {
	late := now.Add(ahead / time.Duration(q.slots)).Add(w.work).After(w.Target)
	overtaking := 0.0
	for class, r := range q.arrivals {
		if class.precedes(w.priorityClass()) || late && class == w.priorityClass() {
			overtaking += r.value(now) * (1 - q.declinedShare)
		}
	}
	return float64(q.slots) * (1 - min(overtaking/float64(q.slots), maxOvertakingShare))
}

// Advance starts waiting requests on free slots and refuses those that can no longer be
// answered before their deadline. It returns these decisions.
func (q *Queue) Advance(now time.Time) []Decision {
	var out []Decision
	q.waiting = slices.DeleteFunc(q.waiting, func(w waiting) bool {
		expired := now.Add(w.work / 2).After(w.Deadline)
		if expired {
			out = append(out, q.refuse(w.ID, 0))
		}
		return expired
	})
	out = append(out, q.review(now)...)
	for len(q.waiting) > 0 && len(q.running) < q.slots {
		best := 0
		for i := range q.waiting {
			if q.waiting[i].before(q.waiting[best], now) {
				best = i
			}
		}
		if !q.rate.take(now) {
			return append(out, q.shedOverRate(now)...)
		}
		w := q.waiting[best]
		q.waiting = slices.Delete(q.waiting, best, best+1)
		q.start(w, now)
		out = append(out, Decision{ID: w.ID, Action: Run})
	}
	return out
}
