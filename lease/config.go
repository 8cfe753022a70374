package lease

import "time"

// MaxWitnesses is the number of witnesses of a session, the store included.
const MaxWitnesses = 3

// Config holds the timing of leases. All daemons of a cluster must agree on
// GrantDuration and ClockError; the others may differ. The tags are those of
// go-playground/validator.
type Config struct {
	// GrantDuration is how long a grant lasts (default 1.5 s). A shorter one brings
	// ranges of a lost session back sooner; a longer one tolerates longer pauses and
	// more lost messages.
	GrantDuration time.Duration `validate:"gt=0"`
	// RenewInterval is the time between renewals (default 400 ms). A shorter one
	// costs messages and, in small clusters, store writes; with a longer one fewer
	// lost messages end the lease.
	RenewInterval time.Duration `validate:"gt=0,ltfield=GrantDuration"`
	// ClockError is the largest error of a clock's rate as a fraction (default 0.01).
	// A smaller one shortens takeovers, and gives two owners if a clock exceeds it.
	ClockError float64 `validate:"gt=0,lt=0.1"`
	// FreshFor is the age of a grant below which a witness declines to seal (default
	// 1 s, two and a half renewals). A shorter one lets a single expired witness end
	// the lease of a session that lost a few messages; a longer one delays takeovers.
	FreshFor time.Duration `validate:"gte=0,ltefield=GrantDuration"`
	// ReplaceSpread is the upper end of the random delay before a witness is replaced
	// while the others hold a quorum (default 8 s; a loss is noticed within 2 s more).
	// A shorter one concentrates store writes after a loss; a longer one lengthens the
	// time in which the loss of a second witness ends the lease.
	ReplaceSpread time.Duration `validate:"gt=0"`
	// RetryInterval is the time between attempts at the store and at sealing (default
	// 100 ms). A shorter one loads the store during its outages; a longer one delays
	// recovery.
	RetryInterval time.Duration `validate:"gt=0"`
	// EscalateAfter is the time after which a witness takes the planner row because a
	// reported session is not fenced (default 500 ms). A shorter one competes with a
	// slow planner; a longer one lengthens the loss of a planner.
	EscalateAfter time.Duration `validate:"gt=0"`
	// RankDelay is the additional delay of the second and third witness, and the
	// spread of the random delay within a rank (default 100 ms). A shorter one makes
	// witnesses compete for the planner row.
	RankDelay time.Duration `validate:"gt=0"`
	// TickInterval is the longest time between ticks (default 50 ms). A shorter one
	// costs processor time; a longer one adds to every reaction.
	TickInterval time.Duration `validate:"gt=0"`
	// WatchInterval is the time between reads of a renewal row by the peers of a
	// session whose set contains the store (default 200 ms). A shorter one costs store
	// reads; a longer one delays takeovers in clusters of two.
	WatchInterval time.Duration `validate:"gt=0"`
	// SessionsPerWitness is the number of sessions above which a witness is chosen
	// only if no other fits (default 8). A smaller one spreads the work of a loss
	// over more sessions; a larger one gives zones more weight. It never refuses.
	SessionsPerWitness int `validate:"gt=0"`
}

// DefaultConfig returns the defaults.
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

// holderGrant is how long a holder relies on a grant: at most GrantDuration of true
// time, even if its clock is slow by ClockError.
func (c Config) holderGrant() time.Duration {
	return time.Duration(float64(c.GrantDuration) * (1 - c.ClockError))
}

// witnessGrant is how long a witness keeps to a grant: at least GrantDuration of
// true time, even if its clock is fast by ClockError.
func (c Config) witnessGrant() time.Duration { return c.stretch(c.GrantDuration) }

// stretch returns a duration that lasts at least d of true time on a fast clock.
func (c Config) stretch(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+c.ClockError)) + 1
}
