package waitqueue

import (
	"maps"
	"slices"
	"time"
)

// WouldRefuse reports whether Offer would refuse a request at now because of its expected wait, and
// returns that decision. It changes nothing: the request has neither arrived nor a place.
//
// While a limit in requests per second holds, it returns false, because a refusal for the limit
// gives the request a place, which only Offer can do.
func (q *Queue) WouldRefuse(it Item, now time.Time) (Decision, bool) {
	if q.rate.limited() {
		return Decision{}, false
	}
	d, _ := q.copyUnlimited().Offer(it, now)
	return d, d.Action == Refuse
}

// copyUnlimited returns a copy for Offer, which must not be limited in requests per second. It
// shares what Offer does not change then.
func (q *Queue) copyUnlimited() *Queue {
	c := *q
	c.running, c.waiting = maps.Clone(q.running), slices.Clone(q.waiting)
	c.arrivals = make(map[priorityClass]*arrivalRate, len(q.arrivals))
	for class, r := range q.arrivals {
		rate := *r
		c.arrivals[class] = &rate
	}
	c.rate.cold.sent = slices.Clip(q.rate.cold.sent) // Offer appends to it
	return &c
}
