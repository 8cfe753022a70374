package waitqueue

import (
	"math"
	"time"
)

// priorityClass is the priority of a request in the queue. Requests of a higher class always
// run first.
type priorityClass struct {
	nested   bool
	priority int
}

func (it Item) priorityClass() priorityClass { return priorityClass{it.Nested, it.Priority} }

// starvedClass is the class of a request whose own class has had none on a cold backend server for
// classStarvedAfter.
var starvedClass = priorityClass{nested: true, priority: math.MinInt}

// precedes reports whether requests of c run before those of o.
func (c priorityClass) precedes(o priorityClass) bool {
	if c.nested != o.nested {
		return c.nested
	}
	return c.priority < o.priority
}

// arrivalRate estimates the work that arrives per second, in busy slots.
type arrivalRate struct {
	slots     float64
	updatedAt time.Time
}

// arrivalRateWindow is the time constant of the arrival rates. It must cover several requests
// and still follow a burst of a few seconds.
const arrivalRateWindow = time.Second

func (r *arrivalRate) add(work time.Duration, now time.Time) {
	r.slots = r.value(now) + work.Seconds()/arrivalRateWindow.Seconds()
	r.updatedAt = now
}

func (r *arrivalRate) value(now time.Time) float64 {
	if r.updatedAt.IsZero() {
		return 0
	}
	return r.slots * math.Exp(-now.Sub(r.updatedAt).Seconds()/arrivalRateWindow.Seconds())
}
