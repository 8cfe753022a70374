package waitqueue

import (
	"math"
	"time"
)

// group is a rank of requests. Requests of a better group always go first.
type group struct {
	nested   bool
	priority int
}

func (it Item) group() group { return group{it.Nested, it.Priority} }

// better reports whether requests of g go before those of o.
func (g group) better(o group) bool {
	if g.nested != o.nested {
		return g.nested
	}
	return g.priority < o.priority
}

// rate estimates the work a second that arrives, as busy slots.
type rate struct {
	slots float64
	at    time.Time
}

// rateWindow is the time constant of the arrival rates. It must cover several requests
// and still follow a burst of a few seconds.
const rateWindow = time.Second

func (r *rate) add(work time.Duration, now time.Time) {
	r.slots = r.value(now) + work.Seconds()/rateWindow.Seconds()
	r.at = now
}

func (r *rate) value(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.slots * math.Exp(-now.Sub(r.at).Seconds()/rateWindow.Seconds())
}
