package waitqueue

import (
	"slices"
	"time"
)

const (
	// turnEarly is how much before its turn a request counts as the one that was told to come
	// back, because callers round the time.
	turnEarly = 10 * time.Millisecond
	// turnGrace is how long after its turn a place is kept: a new connection and the way to the
	// owner's node.
	turnGrace = 100 * time.Millisecond
)

// turn is a place in the limit for a refused request that was told when to come back.
type turn struct {
	fingerprint uint64
	class       priorityClass
	at          time.Time
}

// turns are places in the limit. New requests leave them free.
type turns struct {
	// places are sorted by time.
	places []turn
	// missed is the share of places whose requests did not come.
	missed float64
}

// missedSmoothing is the weight of one place in the share of missed ones.
const missedSmoothing = 0.05

// recordMissed adds a place to the share of missed ones; missed is 1 if its request did not come,
// else 0.
func (t *turns) recordMissed(missed float64) { t.missed += missedSmoothing * (missed - t.missed) }

// expire removes the places whose requests did not come.
func (t *turns) expire(now time.Time) {
	for len(t.places) > 0 && now.Sub(t.places[0].at) > turnGrace {
		t.places = t.places[1:]
		t.recordMissed(1)
	}
}

// claim removes the place of a request that comes back and returns the places before it, or all
// places if the request has none.
func (t *turns) claim(fingerprint uint64, now time.Time) (before []turn) {
	for i, x := range t.places {
		if fingerprint != 0 && x.fingerprint == fingerprint && !now.Before(x.at.Add(-turnEarly)) {
			before = slices.Clone(t.places[:i])
			t.places = slices.Delete(t.places, i, i+1)
			t.recordMissed(0)
			return before
		}
	}
	return t.places
}

// after returns the earliest time from at on that is an interval after the last place that a
// request of a class does not precede.
func (t *turns) after(at time.Time, class priorityClass, interval time.Duration) time.Time {
	for _, x := range slices.Backward(t.places) {
		if !class.precedes(x.class) {
			if next := x.at.Add(interval); next.After(at) {
				return next
			}
			break
		}
	}
	return at
}

func (t *turns) add(x turn) {
	i, _ := slices.BinarySearchFunc(t.places, x, func(a, b turn) int { return a.at.Compare(b.at) })
	t.places = slices.Insert(t.places, i, x)
}
