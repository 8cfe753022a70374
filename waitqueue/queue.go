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

// running is a request on the backend server.
type running struct {
	route   string
	started time.Time
	work    time.Duration
}

// Queue is the line in front of one backend server. It is not safe for concurrent use.
type Queue struct {
	config  Config
	slots   int
	running map[ID]running
	waiting []waiting
	work    map[string]time.Duration
}

// New returns a queue for a backend server without slots: requests wait until SetSlots.
func New(config Config) *Queue {
	return &Queue{config: config, running: map[ID]running{}, work: map[string]time.Duration{}}
}

// SetSlots sets how many requests the backend server runs at once.
func (q *Queue) SetSlots(slots int, now time.Time) []Decision {
	q.slots = slots
	return q.Advance(now)
}

// Running and Waiting return the number of requests in each state.
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

// Offer decides about a new request. Other decisions may follow from the time that
// passed.
func (q *Queue) Offer(it Item, now time.Time) (Decision, []Decision) {
	others := q.Advance(now)
	work := q.Work(it.Route)
	if len(q.running) < q.slots && len(q.waiting) == 0 {
		if !now.Add(work / 2).Before(it.Deadline) {
			return q.refuse(it.ID, 0), others
		}
		q.start(it, now)
		return Decision{ID: it.ID, Verb: Run}, others
	}
	w := waiting{Item: it, work: work}
	wait := q.expectedWait(w, now)
	reserve := time.Duration(float64(work) * (1 + q.config.Spread))
	if len(q.waiting) >= q.config.MaxWaiting || now.Add(wait+reserve).After(it.limit()) {
		return q.refuse(it.ID, wait), others
	}
	at, _ := slices.BinarySearchFunc(q.waiting, w, func(a, b waiting) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	q.waiting = slices.Insert(q.waiting, at, w)
	return Decision{ID: it.ID, Verb: Wait}, others
}

// limit is the time by which a request that has to wait must be expected to end.
func (it Item) limit() time.Time {
	if it.Target.Before(it.Deadline) {
		return it.Target
	}
	return it.Deadline
}

// before orders the line: requests whose caller holds a slot elsewhere, then by rank,
// then by the time left.
func (w waiting) before(o waiting) bool {
	if w.Nested != o.Nested {
		return w.Nested
	}
	if w.Priority != o.Priority {
		return w.Priority < o.Priority
	}
	return w.limit().Before(o.limit())
}

// expectedWait returns how long w would wait behind the running requests and those that
// go before it.
func (q *Queue) expectedWait(w waiting, now time.Time) time.Duration {
	if q.slots == 0 {
		return 0
	}
	var ahead time.Duration
	for _, r := range q.running {
		ahead += max(r.work-now.Sub(r.started), r.work/4)
	}
	for _, o := range q.waiting {
		if o.before(w) {
			ahead += o.work
		}
	}
	return ahead / time.Duration(q.slots)
}

func (q *Queue) refuse(id ID, wait time.Duration) Decision {
	after := min(max(wait, q.config.MinRetryAfter), q.config.MaxRetryAfter)
	return Decision{ID: id, Verb: Refuse, RetryAfter: after, Expected: wait}
}

func (q *Queue) start(it Item, now time.Time) {
	q.running[it.ID] = running{route: it.Route, started: now, work: q.Work(it.Route)}
}

// Done ends a running request. Its time counts for estimates if it ran to its end.
func (q *Queue) Done(id ID, ran bool, now time.Time) []Decision {
	if r, ok := q.running[id]; ok {
		delete(q.running, id)
		if ran {
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
	for i, w := range q.waiting {
		if w.ID == id {
			q.waiting = slices.Delete(q.waiting, i, i+1)
			return true
		}
	}
	return false
}

// Advance starts waiting requests on free slots and refuses those that can no longer be
// answered before their deadline.
func (q *Queue) Advance(now time.Time) []Decision {
	var out []Decision
	for len(q.waiting) > 0 && len(q.running) < q.slots {
		w := q.waiting[0]
		q.waiting = slices.Delete(q.waiting, 0, 1)
		if now.Add(w.work / 2).After(w.Deadline) {
			out = append(out, q.refuse(w.ID, 0))
			continue
		}
		q.start(w.Item, now)
		out = append(out, Decision{ID: w.ID, Verb: Run})
	}
	for i := 0; i < len(q.waiting); {
		if w := q.waiting[i]; now.Add(w.work / 2).After(w.Deadline) {
			q.waiting = slices.Delete(q.waiting, i, i+1)
			out = append(out, q.refuse(w.ID, 0))
			continue
		}
		i++
	}
	return out
}

// Works returns a copy of the expected times of the routes that were measured.
func (q *Queue) Works() map[string]time.Duration { return maps.Clone(q.work) }
