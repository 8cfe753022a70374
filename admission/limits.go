package admission

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/basilway/basilway/catalogue"
)

// Limit limits the requests of one team or class at one backend server. A field that is 0
// sets no limit.
type Limit struct {
	InFlight int
	Queue    int
	// RatePerSecond and Burst limit the requests that are started or queued.
	RatePerSecond float64
	Burst         int
}

// Limits are the limits in force at one backend server.
type Limits struct {
	// Teams holds the teams that have a limit of their own.
	Teams map[string]Limit
	// OtherTeams applies to each team that is not in Teams.
	OtherTeams Limit
	Classes    map[catalogue.Class]Limit
}

// FromEntry returns the limits that a catalogue entry sets at one of the given number of
// backend servers. The entry's limits apply to its class as a whole and to each team.
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

// limitUsage is a Limit and its current use.
type limitUsage struct {
	limit    Limit
	limiter  *rate.Limiter // nil without a rate
	inFlight int
	queued   int
}

// setLimit changes the limit and keeps the tokens that are left.
func (u *limitUsage) setLimit(limit Limit, now time.Time) {
	u.limit = limit
	if limit.RatePerSecond <= 0 {
		u.limiter = nil
		return
	}
	burst := max(1, limit.Burst)
	if u.limiter == nil {
		u.limiter = rate.NewLimiter(rate.Limit(limit.RatePerSecond), burst)
		return
	}
	u.limiter.SetLimitAt(now, rate.Limit(limit.RatePerSecond))
	u.limiter.SetBurstAt(now, burst)
}

func (u *limitUsage) mayStart() bool {
	return u.limit.InFlight <= 0 || u.inFlight < u.limit.InFlight
}

func (u *limitUsage) overQueueLimit() bool {
	return u.limit.Queue > 0 && u.queued > u.limit.Queue
}

// tokenWait returns the time until the token bucket has a token, or 0 if it has one.
func (u *limitUsage) tokenWait(now time.Time) time.Duration {
	if u.limiter == nil {
		return 0
	}
	missing := 1 - u.limiter.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return max(1, time.Duration(missing/float64(u.limiter.Limit())*float64(time.Second)))
}

// takeToken takes a token from the bucket.
func (u *limitUsage) takeToken(now time.Time) {
	if u.limiter != nil {
		u.limiter.AllowN(now, 1)
	}
}

// idle reports whether u can be removed: it has no requests, and its token bucket is full.
func (u *limitUsage) idle(now time.Time) bool {
	return u.inFlight == 0 && u.queued == 0 &&
		(u.limiter == nil || u.limiter.TokensAt(now) >= float64(u.limiter.Burst()))
}
