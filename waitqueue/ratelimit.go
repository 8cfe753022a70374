package waitqueue

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// rateLimit limits how many requests a second are sent to the backend server. The zero value
// limits nothing.
type rateLimit struct {
	bucket *rate.Limiter
	// lastTurn is the latest time at which a refused request was told to come back.
	lastTurn time.Time
	// offered is when each priority class last had a request, admitted or not.
	offered map[priorityClass]time.Time
}

// set limits the requests to perSecond. A limit that was not set before starts with one
// request, because the backend server is overloaded already.
func (r *rateLimit) set(perSecond float64, c Config, now time.Time) {
	perSecond = max(perSecond, c.MinRate)
	burst := max(1, int(perSecond*c.RateBurst.Seconds()))
	if r.bucket != nil {
		r.bucket.SetBurstAt(now, burst)
		r.bucket.SetLimitAt(now, rate.Limit(perSecond))
		return
	}
	r.bucket, r.lastTurn = rate.NewLimiter(rate.Limit(perSecond), burst), now
	r.offered = map[priorityClass]time.Time{}
	r.bucket.AllowN(now, burst-1)
}

func (r *rateLimit) remove() { r.bucket = nil }

// available returns how many requests may be sent at now.
func (r *rateLimit) available(now time.Time) float64 {
	if r.bucket == nil {
		return math.Inf(1)
	}
	return r.bucket.TokensAt(now)
}

// take counts a request that is sent at now, and reports whether the limit allows it.
func (r *rateLimit) take(now time.Time) bool { return r.bucket == nil || r.bucket.AllowN(now, 1) }

// nextTurn returns how long a refused request should stay away. Each refused request gets a
// turn of its own, so that those who come back don't compete for the same one; ahead is the
// number of requests that go first. The result is at most longest, or the time that the limit
// puts between two requests.
func (r *rateLimit) nextTurn(ahead float64, longest time.Duration, now time.Time) time.Duration {
	interval := time.Duration(float64(time.Second) / float64(r.bucket.Limit()))
	missing := max(0, 1+ahead-r.available(now))
	turn := now.Add(time.Duration(missing * float64(interval)))
	if after := r.lastTurn.Add(interval); after.After(turn) {
		turn = after
	}
	if longest = max(longest, interval); turn.Sub(now) > longest {
		return longest
	}
	r.lastTurn = turn
	return turn.Sub(now)
}

// SetRateLimit limits the requests that are sent to the backend server to perSecond, and
// refuses waiting requests that exceed it.
func (q *Queue) SetRateLimit(perSecond float64, now time.Time) []Decision {
	q.rate.set(perSecond, q.config, now)
	return append(q.Advance(now), q.shedOverRate(now)...)
}

// RemoveRateLimit ends the limit in requests per second.
func (q *Queue) RemoveRateLimit() { q.rate.remove() }

// classActiveFor is how long a priority class counts as active after its last request.
const classActiveFor = time.Second

// aheadInRate returns the number of requests that the limit must leave room for before w is
// sent: those that wait for a slot, and one of a higher priority if such requests arrive.
func (q *Queue) aheadInRate(w waiting, now time.Time) float64 {
	if q.rate.bucket == nil {
		return 0
	}
	ahead, own := float64(len(q.waiting)), w.priorityClass()
	q.rate.offered[own] = now
	if q.rate.bucket.Burst() < 2 {
		return ahead
	}
	for class, last := range q.rate.offered {
		if class.precedes(own) && now.Sub(last) < classActiveFor {
			return ahead + 1
		}
	}
	return ahead
}

// shedOverRate refuses the waiting requests that the limit leaves no room for; those that run
// first stay.
func (q *Queue) shedOverRate(now time.Time) []Decision {
	room := q.rate.available(now)
	if float64(len(q.waiting)) <= room {
		return nil
	}
	q.sortWaiting(now)
	kept := max(0, int(room))
	var out []Decision
	for _, w := range q.waiting[kept:] {
		out = append(out, q.refuseForRate(w.ID, float64(kept), now))
	}
	q.waiting = q.waiting[:kept]
	return out
}

func (q *Queue) refuseForRate(id ID, ahead float64, now time.Time) Decision {
	after := max(q.rate.nextTurn(ahead, q.config.MaxRetryAfter, now), q.config.MinRetryAfter)
	return Decision{ID: id, Action: Refuse, RetryAfter: after, RateLimited: true}
}
