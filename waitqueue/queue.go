package waitqueue

import (
	"maps"
	"slices"
	"time"
)

// waiting is a queued request with its expected work.
type waiting struct {
	Item
	work time.Duration
}

// onTime reports whether the request can still be answered by its target.
func (w waiting) onTime(now time.Time) bool { return !now.Add(w.work).After(w.Target) }

// running is a request on the backend server.
type running struct {
	route   string
	started time.Time
	work    time.Duration
}

// Queue is the line in front of one backend server. It is not safe for concurrent use.
//
// Requests of a better group go first. Within a group, those that can still be answered
// by their target go before those that are late anyway, so that a backlog does not make
// every request late; each of the two parts goes by its time limit. A request that would
// be late is kept only if the line is expected to get to it well before its deadline,
// counting what arrives meanwhile and goes before it.
type Queue struct {
	config  Config
	slots   int
	running map[ID]running
	waiting []waiting
	work    map[string]time.Duration
	rates   map[group]*rate
	// declined is the share of requests that the backend server refuses at once. They take
	// no time of those behind them.
	declined float64
	// reviewed is when the line was last checked for requests that wait in vain.
	reviewed time.Time
}

// New returns a queue for a backend server without slots: requests wait until SetSlots.
func New(config Config) *Queue {
	return &Queue{config: config, running: map[ID]running{}, work: map[string]time.Duration{}, rates: map[group]*rate{}}
}

// SetSlots sets how many requests the backend server runs at once.
func (q *Queue) SetSlots(slots int, now time.Time) []Decision {
	q.slots = slots
	return q.Advance(now)
}

// Running returns the number of requests on the backend server.
func (q *Queue) Running() int { return len(q.running) }

// Waiting returns the number of queued requests.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Slots returns the number of requests that run at once.
func (q *Queue) Slots() int { return q.slots }

// Work returns the expected time of a request on the backend server.
func (q *Queue) Work(route string) time.Duration {
	if w, ok := q.work[route]; ok {
		return w
	}
	return q.config.InitialWork
}

// Works returns a copy of the expected times of the routes that were measured.
func (q *Queue) Works() map[string]time.Duration { return maps.Clone(q.work) }

// Offer decides about a new request. Other decisions may follow from the time that
// passed.
func (q *Queue) Offer(it Item, now time.Time) (Decision, []Decision) {
	others := q.Advance(now)
	w := waiting{Item: it, work: q.Work(it.Route)}
	free := len(q.running) < q.slots && len(q.waiting) == 0
	wait := time.Duration(0)
	if !free {
		wait = q.expectedWait(w, now)
	}
	// A late request that is refused may come back, so only admitted work counts.
	if !q.admits(w, wait, free, now) {
		return q.refuse(it.ID, wait), others
	}
	r := q.rates[it.group()]
	if r == nil {
		r = &rate{}
		q.rates[it.group()] = r
	}
	r.add(w.work, now)
	if free {
		q.start(w, now)
		return Decision{ID: it.ID, Verb: Run}, others
	}
	q.waiting = append(q.waiting, w)
	return Decision{ID: it.ID, Verb: Wait}, others
}

// admits decides whether a request runs or waits, rather than being refused at once.
func (q *Queue) admits(w waiting, wait time.Duration, free bool, now time.Time) bool {
	if free || q.slots == 0 {
		return now.Add(w.work / 2).Before(w.Deadline)
	}
	if len(q.waiting) >= q.config.MaxWaiting {
		return false
	}
	end := now.Add(wait + time.Duration(float64(w.work)*(1+q.config.Spread)))
	if !end.After(w.Target) {
		return true
	}
	// The line may take longer than expected, and a request that is refused after a long
	// wait is worse off than one that is refused at once.
	left := w.Deadline.Sub(now)
	return end.Before(now.Add(time.Duration(q.config.LateShare * float64(left))))
}

// before orders the line as of now.
func (w waiting) before(o waiting, now time.Time) bool {
	if a, b := w.group(), o.group(); a != b {
		return a.better(b)
	}
	a, b := w.onTime(now), o.onTime(now)
	switch {
	case a != b:
		return a
	case a:
		return w.Target.Before(o.Target)
	default:
		return w.Deadline.Before(o.Deadline)
	}
}

// maxUtilization bounds the share of the slots that is taken to be used by requests that
// arrive later and go first, so that the expected wait stays finite.
const maxUtilization = 0.95

// expectedWait returns how long w would wait behind the running requests, those that go
// before it, and those that arrive meanwhile and go before it.
func (q *Queue) expectedWait(w waiting, now time.Time) time.Duration {
	if q.slots == 0 {
		return 0
	}
	ahead := q.runningWork(now)
	for _, o := range q.waiting {
		if o.before(w, now) {
			ahead += q.share(o.work)
		}
	}
	return time.Duration(float64(ahead) / q.freeSlots(w, ahead, now))
}

func (q *Queue) refuse(id ID, wait time.Duration) Decision {
	after := min(max(wait, q.config.MinRetryAfter), q.config.MaxRetryAfter)
	return Decision{ID: id, Verb: Refuse, RetryAfter: after, Expected: wait}
}

func (q *Queue) start(w waiting, now time.Time) {
	q.running[w.ID] = running{route: w.Route, started: now, work: w.work}
}

// Done ends a running request. Its time counts for estimates if it ran to its end.
func (q *Queue) Done(id ID, result Result, now time.Time) []Decision {
	if r, ok := q.running[id]; ok {
		delete(q.running, id)
		declined := 0.0
		if result == Declined {
			declined = 1
		}
		q.declined += q.config.Smoothing * (declined - q.declined)
		if result == Completed {
			took := now.Sub(r.started)
			if old, known := q.work[r.route]; known {
				took = old + time.Duration(float64(took-old)*q.config.Smoothing)
			}
			q.work[r.route] = took
		}
	}
	return q.Advance(now)
}

// Cancel removes a waiting request and reports whether it waited.
func (q *Queue) Cancel(id ID) bool {
	at := slices.IndexFunc(q.waiting, func(w waiting) bool { return w.ID == id })
	if at < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return true
}

// review refuses requests that the line is not expected to get to before their deadline.
// What was expected when they came may have been wrong: the backend server turned slow, or
// more requests that go first arrived.
func (q *Queue) review(now time.Time) []Decision {
	if q.config.ReviewInterval == 0 || q.slots == 0 || now.Sub(q.reviewed) < q.config.ReviewInterval {
		return nil
	}
	q.reviewed = now
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
	var out []Decision
	ahead := q.runningWork(now)
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		wait := time.Duration(float64(ahead) / q.freeSlots(w, ahead, now))
		if now.Add(wait + w.work).After(w.Deadline) {
			out = append(out, q.refuse(w.ID, wait))
			continue
		}
		ahead += q.share(w.work)
		kept = append(kept, w)
	}
	q.waiting = kept
	return out
}

// share returns the part of an expected time that a request takes on average, counting
// those that are declined.
func (q *Queue) share(work time.Duration) time.Duration {
	return time.Duration(float64(work) * (1 - q.declined))
}

// runningWork returns the work that is left of the running requests.
func (q *Queue) runningWork(now time.Time) time.Duration {
	var left time.Duration
	for _, r := range q.running {
		left += max(r.work-now.Sub(r.started), r.work/4)
	}
	return left
}

// freeSlots returns the slots that are left for w and the work ahead of it, after those
// that requests take which arrive later and go first.
func (q *Queue) freeSlots(w waiting, ahead time.Duration, now time.Time) float64 {
	late := now.Add(ahead / time.Duration(q.slots)).Add(w.work).After(w.Target)
	coming := 0.0
	for g, r := range q.rates {
		if g.better(w.group()) || late && g == w.group() {
			coming += r.value(now) * (1 - q.declined)
		}
	}
	return float64(q.slots) * (1 - min(coming/float64(q.slots), maxUtilization))
}

// Advance starts waiting requests on free slots and refuses those that can no longer be
// answered before their deadline.
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
		w := q.waiting[best]
		q.waiting = slices.Delete(q.waiting, best, best+1)
		q.start(w, now)
		out = append(out, Decision{ID: w.ID, Verb: Run})
	}
	return out
}
