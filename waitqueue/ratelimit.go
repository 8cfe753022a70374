package waitqueue

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/basilway/basilway/internal/quantity"
)

// rateLimit limits how many requests a second are sent to the backend server: by the limit that it
// states, and while it is cold. The lower one applies. The zero value limits nothing.
type rateLimit struct {
	// bucket is the limit that the backend server states; nil if it states none.
	bucket *rate.Limiter
	cold   coldWindow
	// turns are the places of refused requests that can wait for them.
	turns turns
	// lastTold is the latest time at which a refused request without a place was told to come
	// back.
	lastTold time.Time
	// offered is when each priority class last had a request, admitted or not.
	offered map[priorityClass]time.Time
}

// set limits the requests to perSecond. A limit that was not set before starts with one
// request, because the backend server is overloaded already.
func (r *rateLimit) set(perSecond float64, c Config, now time.Time) {
	perSecond = max(perSecond, c.MinRate)
	burst := max(1, quantity.Int(perSecond*c.RateBurst.Seconds()))
	if r.bucket != nil {
		r.bucket.SetBurstAt(now, burst)
		r.bucket.SetLimitAt(now, rate.Limit(perSecond))
		return
	}
	if !r.limited() {
		r.begin(now)
	}
	r.bucket = rate.NewLimiter(rate.Limit(perSecond), burst)
	r.bucket.AllowN(now, burst-1)
}

// begin starts without places.
func (r *rateLimit) begin(now time.Time) {
	r.lastTold, r.turns, r.offered = now, turns{}, map[priorityClass]time.Time{}
}

func (r *rateLimit) remove() {
	r.bucket = nil
	if !r.limited() {
		r.turns = turns{}
	}
}

func (r *rateLimit) limited() bool { return r.bucket != nil || r.cold.active() }

// available returns how many requests may be sent at now.
func (r *rateLimit) available(now time.Time) float64 {
	if r.bucket == nil {
		return r.cold.available(now)
	}
	return min(r.bucket.TokensAt(now), r.cold.available(now))
}

// tokens returns how many requests may be sent at now if no window of a cold backend server has used
// them up.
func (r *rateLimit) tokens(now time.Time) float64 {
	least := math.Inf(1)
	if r.bucket != nil {
		least = r.bucket.TokensAt(now)
	}
	if r.cold.active() {
		least = min(least, r.cold.bucket.TokensAt(now))
	}
	return least
}

// take counts a request that is sent at now, and reports whether the limits allow it.
func (r *rateLimit) take(now time.Time) bool {
	if r.cold.available(now) < 1-roundingTokens || r.bucket != nil && !r.bucket.AllowN(now, 1) {
		return false
	}
	if r.cold.active() {
		r.cold.bucket.ReserveN(now, 1)
	}
	return true
}

// perSecond is the lower limit in requests per second.
func (r *rateLimit) perSecond() float64 {
	lowest := math.Inf(1)
	if r.bucket != nil {
		lowest = float64(r.bucket.Limit())
	}
	if r.cold.active() {
		lowest = min(lowest, r.cold.perSecond())
	}
	return lowest
}

// burst is the number of requests that may be sent at once.
func (r *rateLimit) burst() int {
	least := math.MaxInt
	if r.bucket != nil {
		least = r.bucket.Burst()
	}
	if r.cold.active() {
		least = min(least, r.cold.bucket.Burst())
	}
	return least
}

// interval is the time that the limits put between two requests.
func (r *rateLimit) interval() time.Duration {
	return time.Duration(float64(time.Second) / r.perSecond())
}

// wait returns the time until n requests may be sent.
func (r *rateLimit) wait(n float64, now time.Time) time.Duration {
	wait := r.cold.wait(n, now)
	if r.bucket != nil {
		interval := float64(time.Second) / float64(r.bucket.Limit())
		wait = max(wait, time.Duration(max(0, n-r.bucket.TokensAt(now))*interval))
	}
	return wait
}

// admits reports whether a request of a class may be sent at now, if ahead others and the places
// in kept go first. A place counts for the share of requests that come back at their turn.
func (r *rateLimit) admits(class priorityClass, ahead float64, kept []turn, now time.Time) bool {
	if !r.limited() {
		return true
	}
	left, taken := r.tokens(now)-ahead-1, ahead+1
	fits := left >= -roundingTokens && r.cold.freeAt(now) >= taken-roundingTokens
	last := now
	for _, t := range kept {
		if !fits {
			break
		}
		if class.precedes(t.class) {
			continue
		}
		if t.at.After(last) {
			left = min(float64(r.burst()), left+t.at.Sub(last).Seconds()*r.perSecond())
			last = t.at
		}
		left, taken = left-(1-r.turns.missed), taken+1-r.turns.missed
		fits = left >= -roundingTokens && r.cold.freeAt(t.at) >= taken-roundingTokens
	}
	return fits
}

// roundingTokens is the share of a request by which the bucket may miss one at its turn.
const roundingTokens = 1e-3

// nextTurn returns how long a refused request should stay away; ahead is the number of requests
// that go first. A request that can wait for its turn gets a place. Others are told different
// times, so that they don't come back together; these are at most MaxRetryAfter, the time that
// the limit puts between two requests, or the time until a cold backend server takes any.
func (r *rateLimit) nextTurn(it waiting, ahead float64, config Config, now time.Time) time.Duration {
	interval := r.interval()
	at := r.turns.after(now.Add(r.wait(1+ahead, now)), it.class, interval)
	at = r.cold.firstFree(later(at, now.Add(config.MinRetryAfter)), r.turns)
	stay := time.Duration(config.ReturnShare * float64(it.Deadline.Sub(now)))
	if it.Fingerprint != 0 && at.Sub(now) <= stay {
		r.turns.add(turn{it.Fingerprint, it.class, at})
		if it.class == starvedClass {
			r.cold.recordServed(it.Item.priorityClass(), now)
		}
		return at.Sub(now)
	}
	at = later(at, r.lastTold.Add(interval))
	if longest := max(config.MaxRetryAfter, interval, r.cold.wait(1, now)); at.Sub(now) > longest {
		return longest
	}
	r.lastTold = at
	return at.Sub(now)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
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
	if !q.rate.limited() {
		return 0
	}
	q.rate.turns.expire(now)
	ahead := float64(len(q.waiting))
	q.rate.offered[w.Item.priorityClass()] = now
	if q.rate.burst() < 2 {
		return ahead
	}
	for class, last := range q.rate.offered {
		if class.precedes(w.class) && now.Sub(last) < classActiveFor {
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
		out = append(out, q.refuseForRate(w, float64(kept), now))
	}
	q.waiting = q.waiting[:kept]
	return out
}

func (q *Queue) refuseForRate(w waiting, ahead float64, now time.Time) Decision {
	after := q.rate.nextTurn(w, ahead, q.config, now)
	return Decision{ID: w.ID, Action: Refuse, RetryAfter: after, RateLimited: true, Cold: q.rate.cold.active()}
}
