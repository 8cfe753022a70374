package waitqueue

import (
	"maps"
	"time"
)

// usualSpeed is the speed from which the times of completed requests update the estimates of their
// routes. Those of a slower server would be learned as usual.
const usualSpeed = 0.7

// SetSpeed sets the backend server's present speed relative to its usual one, which is 1 without
// calls, and the usual times of routes. It returns the decisions on waiting requests that follow.
func (q *Queue) SetSpeed(speed float64, usual map[string]time.Duration, now time.Time) []Decision {
	q.speed = speed
	maps.Copy(q.work, usual)
	for id, r := range q.running {
		r.work = q.Work(r.route)
		q.running[id] = r
	}
	for i := range q.waiting {
		q.waiting[i].work = q.Work(q.waiting[i].Route)
	}
	q.reviewedAt = time.Time{}
	return q.Advance(now)
}
