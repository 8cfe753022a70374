package lease

import "time"

// MaxWitnesses is the largest number of witnesses of a session, including the store.
const MaxWitnesses = 3

// Config holds the settings of leases. All daemons of a cluster must use the same
// GrantDuration and ClockError; the other fields may differ. The tags are for
// go-playground/validator.
type Config struct {
	// GrantDuration is how long a grant lasts (default 1.5 s). With a shorter one, the
	// ranges of a lost session are available again sooner; a longer one tolerates
	// longer pauses and more lost messages.
	GrantDuration time.Duration `validate:"gt=0"`
	// RenewInterval is the time between renewals (default 400 ms). A shorter one
	// costs more messages and, in small clusters, more store writes; with a longer
	// one, fewer lost messages end the lease.
	RenewInterval time.Duration `validate:"gt=0,ltfield=GrantDuration"`
	// ClockError is the largest relative error of a clock's rate (default 0.01). A
	// smaller one shortens takeovers. If a clock exceeds it, a range can have two
	// owners.
	ClockError float64 `validate:"gt=0,lt=0.1"`
	// FreshFor is the age of a grant below which a witness declines to seal (default
	// 1 s, two and a half renewals). With a shorter one, a single expired grant can end
	// the lease of a session that lost a few messages; a longer one delays takeovers.
	FreshFor time.Duration `validate:"gte=0,ltefield=GrantDuration"`
	// ReplaceSpread is the largest random delay before a witness is replaced while the
	// others hold a quorum (default 8 s; the delay starts within 2 s of the loss). A
	// shorter one concentrates store writes after a loss; a longer one extends the
	// time in which the loss of a second witness ends the lease.
	ReplaceSpread time.Duration `validate:"gt=0"`
	// RetryInterval is the time between store attempts and between seal requests
	// (default 100 ms). A shorter one adds load to the store during its outages; a
	// longer one delays recovery.
	RetryInterval time.Duration `validate:"gt=0"`
	// EscalateAfter is how long a witness waits for a reported session to be fenced
	// before it takes the planner row (default 500 ms). With a shorter one, witnesses
	// compete with a slow planner; a longer one delays recovery from a lost planner.
	EscalateAfter time.Duration `validate:"gt=0"`
	// RankDelay is added to EscalateAfter once for the second and twice for the third
	// witness, and is the largest random delay within a rank (default 100 ms). A
	// shorter one makes witnesses compete for the planner row.
	RankDelay time.Duration `validate:"gt=0"`
	// TickInterval is the longest time between ticks (default 50 ms). A shorter one
	// costs processor time; a longer one delays every reaction.
	TickInterval time.Duration `validate:"gt=0"`
	// WatchInterval is the time between reads of a renewal row by the peers of a
	// session whose set contains the store (default 200 ms). A shorter one costs store
	// reads; a longer one delays takeovers in clusters of two.
	WatchInterval time.Duration `validate:"gt=0"`
	// SessionsPerWitness is the load, in sessions, at which a member is chosen as
	// witness only if no other fits (default 8). It never excludes a member. A smaller
	// one spreads the work after a loss over more sessions; a larger one gives
	// availability zones more weight.
	SessionsPerWitness int `validate:"gt=0"`
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		GrantDuration:      1500 * time.Millisecond,
		RenewInterval:      400 * time.Millisecond,
		ClockError:         0.01,
		FreshFor:           time.Second,
		ReplaceSpread:      8 * time.Second,
		RetryInterval:      100 * time.Millisecond,
		EscalateAfter:      500 * time.Millisecond,
		RankDelay:          100 * time.Millisecond,
		TickInterval:       50 * time.Millisecond,
		WatchInterval:      200 * time.Millisecond,
		SessionsPerWitness: 8,
	}
}

// holderGrantDuration is how long a holder relies on a grant by its own clock: at most
// GrantDuration of true time, even if that clock is slow by ClockError.
func (c Config) holderGrantDuration() time.Duration {
	return time.Duration(float64(c.GrantDuration) * (1 - c.ClockError))
}

// witnessGrantDuration is how long a witness keeps a grant by its own clock: at least
// GrantDuration of true time, even if that clock is fast by ClockError.
func (c Config) witnessGrantDuration() time.Duration { return c.withClockMargin(c.GrantDuration) }

// withClockMargin returns a duration that lasts at least d of true time on a clock
// that is fast by ClockError.
func (c Config) withClockMargin(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+c.ClockError)) + 1
}
