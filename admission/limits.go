package admission

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/basilway/basilway/catalogue"
)

// Limit bounds the requests of one team or class at one backend server. A field
// that is 0 sets no bound.
type Limit struct {
	InFlight int
	Queue    int
	// RatePerSecond and Burst bound the requests that are admitted or queued.
	RatePerSecond float64
	Burst         int
}

// Limits are the bounds in force at one backend server.
type Limits struct {
	// Teams names teams with a bound of their own.
	Teams map[string]Limit
	// OtherTeams applies to each team that is not in Teams.
	OtherTeams Limit
	Classes    map[catalogue.Class]Limit
}

// FromEntry returns the limits that a catalogue entry sets at one of servers: its
// class as a whole and each team are bounded by the entry's limits.
func FromEntry(e catalogue.Entry, servers int) Limits {
	l := e.Limits.WithDefaults()
	limit := Limit{
		InFlight:      l.InFlightPerServer(servers),
		Queue:         int(l.MaxQueue),
		RatePerSecond: l.RatePerSecond,
		Burst:         int(l.Burst),
	}
	return Limits{OtherTeams: limit, Classes: map[catalogue.Class]Limit{e.Class: limit}}
}

func (l Limits) team(name string) Limit {
	if limit, ok := l.Teams[name]; ok {
		return limit
	}
	return l.OtherTeams
}

// bound is a Limit with its use.
type bound struct {
	limit    Limit
	limiter  *rate.Limiter // nil without a rate
	inFlight int
	queued   int
}

// set changes the limit and keeps the tokens that are left.
func (b *bound) set(limit Limit, now time.Time) {
	b.limit = limit
	if limit.RatePerSecond <= 0 {
		b.limiter = nil
		return
	}
	burst := max(1, limit.Burst)
	if b.limiter == nil {
		b.limiter = rate.NewLimiter(rate.Limit(limit.RatePerSecond), burst)
		return
	}
	b.limiter.SetLimitAt(now, rate.Limit(limit.RatePerSecond))
	b.limiter.SetBurstAt(now, burst)
}

func (b *bound) mayStart() bool {
	return b.limit.InFlight <= 0 || b.inFlight < b.limit.InFlight
}

func (b *bound) queueOver() bool {
	return b.limit.Queue > 0 && b.queued > b.limit.Queue
}

// rateWait returns the time until the rate allows a request, 0 if it does now.
func (b *bound) rateWait(now time.Time) time.Duration {
	if b.limiter == nil {
		return 0
	}
	missing := 1 - b.limiter.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return max(1, time.Duration(missing/float64(b.limiter.Limit())*float64(time.Second)))
}

// take uses up one request of the rate.
func (b *bound) take(now time.Time) {
	if b.limiter != nil {
		b.limiter.AllowN(now, 1)
	}
}

// idle reports whether forgetting b loses no use of its rate.
func (b *bound) idle(now time.Time) bool {
	return b.inFlight == 0 && b.queued == 0 &&
		(b.limiter == nil || b.limiter.TokensAt(now) >= float64(b.limiter.Burst()))
}
