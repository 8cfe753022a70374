package planner

import "time"

// LoadConfig configures a LoadModel.
type LoadConfig struct {
	// Rise and Fall are the time constants with which an estimate follows a higher
	// and a lower measurement. A short Rise reacts to a hot key within one or two
	// reports; a longer Fall keeps a short dip from starting moves.
	Rise, Fall time.Duration
	// Slow is the time constant of the slow estimate. An excess below
	// Config.ImmediateTrigger must last about that long before units are moved for it.
	Slow time.Duration
	// StaleAfter is the time without reports after which a member gets no new units and
	// its estimates start to decay.
	StaleAfter time.Duration
	// HalfLife is the time in which a stale estimate decays half of the way; see
	// LoadModel.Expire.
	HalfLife time.Duration
	// KeyTTL is the time without reports after which a heavy key is dropped.
	KeyTTL time.Duration
	// MaxErrorPercent is the percentage of failed requests above which lower
	// measurements are ignored.
	MaxErrorPercent uint8
	// Deadband is the relative change of an estimate that must be exceeded before plans
	// see it. Up to it, plans use the value that the last plan saw.
	Deadband float64
}

// DefaultLoadConfig returns the configuration for a cluster with the given number of
// members.
func DefaultLoadConfig(members int) LoadConfig {
	interval := ReportInterval(members)
	return LoadConfig{
		Rise: 6 * time.Second, Fall: 12 * time.Second, Slow: time.Minute,
		StaleAfter: max(30*time.Second, 5*interval), HalfLife: time.Minute,
		KeyTTL: max(20*time.Second, 3*interval), MaxErrorPercent: 10, Deadband: 0.02,
	}
}
