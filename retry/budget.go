// Package retry decides whether and when a failed request is retried.
package retry

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// BudgetConfig configures a Budget. Zero fields take their defaults.
type BudgetConfig struct {
	// Share is the number of retries allowed per first try. The default is 0.1. A
	// greater share hides more isolated failures but adds that much load to a backend
	// server that fails because it is overloaded.
	Share float64
	// MaxSaved is the maximum number of unused retries that are saved for later. The
	// default is 50. A greater number lets more retries through at the start of an
	// outage.
	MaxSaved float64
	// FloorPerSecond is the number of retries per second allowed in addition to Share.
	// The default is 1, so that a single request can be retried without other traffic.
	// It must stay small compared with the traffic of one daemon.
	FloorPerSecond float64
	// FloorBurst is the number of retries that the floor allows at once. The default is
	// 3, enough for all retries of one request.
	FloorBurst int
}

// withDefaults returns c with defaults in place of zero fields.
func (c BudgetConfig) withDefaults() BudgetConfig {
	if c.Share == 0 {
		c.Share = 0.1
	}
	if c.MaxSaved == 0 {
		c.MaxSaved = 50
	}
	if c.FloorPerSecond == 0 {
		c.FloorPerSecond = 1
	}
	if c.FloorBurst == 0 {
		c.FloorBurst = 3
	}
	return c
}

// Budget limits retries to a share of first tries. It is not safe for concurrent use;
// SharedBudget is.
type Budget struct {
	config    BudgetConfig
	saved     float64
	floor     *rate.Limiter
	mutations mutations
}

// mutations switches off single rules so that a test can show that its checks detect it.
type mutations struct {
	unlimited bool
}

// NewBudget returns a budget without saved retries.
func NewBudget(config BudgetConfig) *Budget {
	c := config.withDefaults()
	return &Budget{config: c, floor: rate.NewLimiter(rate.Limit(c.FloorPerSecond), c.FloorBurst)}
}

// FirstTry counts a first try.
func (b *Budget) FirstTry() {
	b.saved = min(b.config.MaxSaved, b.saved+b.config.Share)
}

// TryRetry reports whether a retry may be sent and, if so, takes it from the budget.
func (b *Budget) TryRetry(now time.Time) bool {
	if b.mutations.unlimited {
		return true
	}
	if b.saved >= 1 {
		b.saved--
		return true
	}
	return b.floor.AllowN(now, 1)
}

// SharedBudget is a Budget that is safe for concurrent use.
type SharedBudget struct {
	mu     sync.Mutex
	budget *Budget
}

// NewSharedBudget returns a shared budget without saved retries.
func NewSharedBudget(config BudgetConfig) *SharedBudget {
	return &SharedBudget{budget: NewBudget(config)}
}

// FirstTry counts a first try.
func (b *SharedBudget) FirstTry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.FirstTry()
}

// TryRetry reports whether a retry may be sent and, if so, takes it from the budget.
func (b *SharedBudget) TryRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.TryRetry(now)
}
