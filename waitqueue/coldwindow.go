package waitqueue

import (
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/basilway/basilway/internal/quantity"
)

const (
	// coldWindowLength is the length of a window of the limit: one second, and a margin for the
	// delay between the node and the backend server, which varies from request to request.
	coldWindowLength = time.Second + 100*time.Millisecond
	// maxSendDelay is how long after its decision a request may be sent without counting as
	// sent later. It is a small part of the margin in coldWindowLength.
	maxSendDelay = 20 * time.Millisecond
	// classStarvedAfter is how long a priority class may be without a request on a cold backend
	// server before one of its requests goes first.
	classStarvedAfter = 500 * time.Millisecond
)

// sentRequest is a request that was sent to the backend server.
type sentRequest struct {
	id ID
	at time.Time
}

// coldWindow limits the requests to a backend server that is cold in any window of
// coldWindowLength. Requests count from before it became cold, because the node learns of that
// late. The zero value limits nothing.
type coldWindow struct {
	// most is the number of requests that a window may have; 0 if no limit is configured.
	most int
	// bucket spreads the requests over the window; nil while the backend server is warm.
	bucket *rate.Limiter
	// sent are the requests in the window that ends now, by time.
	sent []sentRequest
	// uncountedAt is until when requests may have been sent that are not in sent: by an earlier
	// process, or while no limit was configured. A full window counts as sent then.
	uncountedAt time.Time
	// served is when each priority class was last served, or first had a request.
	served map[priorityClass]time.Time
}

func (w *coldWindow) active() bool { return w.bucket != nil }

// perSecond is the limit as a rate.
func (w *coldWindow) perSecond() float64 { return float64(w.most) / coldWindowLength.Seconds() }

// set applies a limit of most requests in a window; cold reports whether it holds now. It returns
// whether it began to hold.
func (w *coldWindow) set(most int, cold bool, c Config, now time.Time) (began bool) {
	if w.most == 0 && most > 0 && !w.uncountedAt.IsZero() {
		w.sent = slices.Repeat([]sentRequest{{at: w.uncountedAt}}, most)
	}
	changed := w.most != most
	w.most = most
	if most == 0 {
		w.sent = nil
	}
	if !cold || most == 0 {
		w.bucket = nil
		return false
	}
	burst := max(1, quantity.Int(w.perSecond()*c.RateBurst.Seconds()))
	if w.bucket != nil {
		if changed {
			w.bucket.SetBurstAt(now, burst)
			w.bucket.SetLimitAt(now, rate.Limit(w.perSecond()))
		}
		return false
	}
	w.bucket, w.served = rate.NewLimiter(rate.Limit(w.perSecond()), burst), map[priorityClass]time.Time{}
	w.bucket.AllowN(now, burst-1)
	return true
}

func (w *coldWindow) expire(now time.Time) {
	keep := 0
	for keep < len(w.sent) && now.Sub(w.sent[keep].at) >= coldWindowLength {
		keep++
	}
	w.sent = w.sent[keep:]
}

// free returns how many requests the window that ends at now leaves room for.
func (w *coldWindow) free(now time.Time) int {
	w.expire(now)
	return max(0, w.most-len(w.sent))
}

// freeAt returns how many more requests may be sent by a time if none is sent until then.
func (w *coldWindow) freeAt(t time.Time) float64 {
	if !w.active() {
		return math.Inf(1)
	}
	left := w.most
	for _, s := range w.sent {
		if t.Sub(s.at) < coldWindowLength {
			left--
		}
	}
	return float64(left)
}

// firstFree returns the first time from at on at which the window has room for a request beside
// those in it and those that have a place.
func (w *coldWindow) firstFree(at time.Time, kept turns) time.Time {
	for w.active() {
		used, oldest := 0, at
		count := func(t time.Time) {
			if since := at.Sub(t); since >= 0 && since < coldWindowLength {
				used++
				if t.Before(oldest) {
					oldest = t
				}
			}
		}
		for _, s := range w.sent {
			count(s.at)
		}
		for _, t := range kept.places {
			count(t.at)
		}
		if used < w.most {
			break
		}
		at = oldest.Add(coldWindowLength)
	}
	return at
}

// available returns how many requests may be sent at now.
func (w *coldWindow) available(now time.Time) float64 {
	if !w.active() {
		return math.Inf(1)
	}
	return min(w.bucket.TokensAt(now), float64(w.free(now)))
}

// wait returns the time until n requests may be sent.
func (w *coldWindow) wait(n float64, now time.Time) time.Duration {
	if !w.active() {
		return 0
	}
	interval := time.Duration(float64(time.Second) / w.perSecond())
	spread := time.Duration(max(0, n-w.bucket.TokensAt(now)) * float64(interval))
	missing := int(math.Ceil(n)) - w.free(now)
	if missing <= 0 {
		return spread
	}
	// Requests leave the window in order; any above most must leave too.
	missing += max(0, len(w.sent)-w.most)
	if at := min(missing, len(w.sent)); at > 0 {
		left := w.sent[at-1].at.Add(coldWindowLength).Sub(now)
		return max(spread, left+time.Duration(missing-at)*interval)
	}
	return max(spread, time.Duration(missing)*interval)
}

func (w *coldWindow) record(id ID, now time.Time) {
	if w.most == 0 {
		w.uncountedAt = now
		return
	}
	w.expire(now)
	w.sent = append(w.sent, sentRequest{id, now})
}

// resend counts a request as sent at now rather than at its decision, and reports whether the
// window has room for it. It is left out of the window if not.
func (w *coldWindow) resend(id ID, now time.Time) bool {
	if w.most == 0 {
		return true
	}
	if i := slices.IndexFunc(w.sent, func(s sentRequest) bool { return s.id == id && id != 0 }); i >= 0 {
		if now.Sub(w.sent[i].at) <= maxSendDelay {
			return true
		}
		w.sent = slices.Delete(w.sent, i, i+1)
	}
	if w.active() && w.free(now) == 0 {
		return false
	}
	w.record(id, now)
	return true
}

// starved reports whether a class has had no request on the cold backend server for so long that
// one goes first.
func (w *coldWindow) starved(class priorityClass, now time.Time) bool {
	if !w.active() {
		return false
	}
	last, known := w.served[class]
	if !known {
		w.served[class] = now
	}
	return known && now.Sub(last) > classStarvedAfter
}

// recordServed records that a request of a class was admitted or has a place.
func (w *coldWindow) recordServed(class priorityClass, now time.Time) {
	if w.active() {
		w.served[class] = now
	}
}

// AssumeFullWindow makes the limit for a cold backend server count as used up at a time: an
// earlier process may have sent requests until then. It must be called before SetColdLimit.
func (q *Queue) AssumeFullWindow(at time.Time) { q.rate.cold.uncountedAt = at }

// maxColdRequests bounds the requests in a second that are counted. A larger limit is reduced to it; no backend
// server gets as many.
const maxColdRequests = 1 << 16

// SetColdLimit limits the requests in any second while the backend server is cold. Requests count
// while it is warm too, as long as bound is above 0. A bound below 1 counts as 1, because responses
// tell when the backend server is warm. It returns the decisions that follow.
func (q *Queue) SetColdLimit(bound float64, cold bool, now time.Time) []Decision {
	limited, most := q.rate.limited(), 0
	if bound > 0 {
		most = max(1, min(quantity.Int(bound), maxColdRequests))
	}
	if !q.rate.cold.set(most, cold, q.config, now) {
		if limited && !q.rate.limited() {
			q.rate.turns = turns{}
			return q.Advance(now)
		}
		return nil
	}
	if !limited {
		q.rate.begin(now)
	}
	return append(q.Advance(now), q.shedOverRate(now)...)
}

// ColdRate returns the requests per second that a cold backend server is sent at most; 0 if
// it is not limited for being cold. A lower limit that it states applies.
func (q *Queue) ColdRate() float64 {
	if !q.rate.cold.active() {
		return 0
	}
	return q.rate.perSecond()
}

// SentWithin returns the number of requests in the window of the limit for cold backend servers.
func (q *Queue) SentWithin(now time.Time) int {
	q.rate.cold.expire(now)
	return len(q.rate.cold.sent)
}

// Sending must be called just before a running request is sent. It reports whether the limit for
// a cold backend server allows that; the time since the request's decision may have used up its
// place. If not, it also returns when there is room.
func (q *Queue) Sending(id ID, now time.Time) (allowed bool, retryAfter time.Duration) {
	if q.rate.cold.resend(id, now) {
		return true, 0
	}
	return false, max(q.rate.wait(1, now), q.config.MinRetryAfter)
}
