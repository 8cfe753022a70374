// Package capacity learns how much load one backend server handles well: its present speed and the
// number of requests up to which it keeps it. Learner does no I/O and reads no clock.
package capacity

import "time"

// ID identifies a running request within one Learner.
type ID uint64

// request is a running request.
type request struct {
	route   string
	started time.Time
	// busy is the value of Learner.busy when the request started.
	busy float64
}

// Learner observes the requests of one incarnation of a backend server. It is not safe for
// concurrent use.
type Learner struct {
	config  Config
	speed   speed
	limit   limitSearch
	running map[ID]request
	// busy is the integral of the number of running requests over time, in seconds.
	busy float64
	at   time.Time
}

// New returns a Learner for a backend server that states a number of slots.
func New(config Config, slots int, now time.Time) *Learner {
	return &Learner{
		config: config, running: map[ID]request{}, at: now,
		speed: newSpeed(config, now), limit: newLimitSearch(config, slots, now),
	}
}

// SetSlots sets the slots that the backend server states. A changed number starts the search for
// the limit again.
func (l *Learner) SetSlots(slots int, now time.Time) {
	if slots != l.limit.slots {
		l.limit = newLimitSearch(l.config, slots, now)
	}
}

// Start records that a request was sent to the backend server.
func (l *Learner) Start(id ID, route string, now time.Time) {
	l.Advance(now)
	l.running[id] = request{route: route, started: now, busy: l.busy}
}

// Done records the end of a request. Only a completed one is a sample: a request without a response
// says nothing about the speed.
func (l *Learner) Done(id ID, completed bool, now time.Time) {
	l.Advance(now)
	r, ok := l.running[id]
	if !ok {
		return
	}
	delete(l.running, id)
	took := now.Sub(r.started)
	if !completed || took <= 0 {
		return
	}
	nominal, known := l.speed.complete(r, now)
	if known {
		concurrency := (l.busy - r.busy) / took.Seconds()
		l.limit.complete(nominal, took.Seconds(), concurrency)
	}
}

// Reported records the backend server's own statement of how long work takes at present, in percent
// of the usual time.
func (l *Learner) Reported(percent float64, now time.Time) {
	l.Advance(now)
	l.speed.reported(percent)
}

// Advance counts the time that has passed. It must be called several times per Config.Window while
// requests run, because requests that take too long are evidence before they end.
func (l *Learner) Advance(now time.Time) {
	passed := now.Sub(l.at)
	if passed <= 0 {
		return
	}
	l.at = now
	l.busy += float64(len(l.running)) * passed.Seconds()
	l.speed.advance(l.running, passed, now)
	l.limit.advance(len(l.running), l.speed.meanTook(), passed, now)
}

// Estimate returns what was learned up to the last call of another method.
func (l *Learner) Estimate() Estimate {
	return Estimate{Limit: l.limit.limit, InForce: l.limit.current(), Speed: l.speed.published}
}

// Usual returns the usual time of each route's requests, for routes of which enough completed.
func (l *Learner) Usual() map[string]time.Duration {
	out := make(map[string]time.Duration, len(l.speed.routes))
	for route := range l.speed.routes {
		if seconds, ok := l.speed.nominal(route); ok {
			out[route] = time.Duration(seconds * float64(time.Second))
		}
	}
	return out
}
