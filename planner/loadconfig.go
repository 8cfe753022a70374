package planner

import "time"

// LoadConfig configures a LoadModel.
type LoadConfig struct {
	// Rise and Fall are the time constants with which an estimate follows a higher
	// and a lower measurement. A short Rise reacts to a hot key within one or two
	// reports; a longer Fall keeps a short dip from starting moves.
	Rise, Fall time.Duration
	// Lasting is the time constant of the slow estimate, over which an excess below
	// Config.Surge must last before units are moved for it.
	Lasting time.Duration
	// StaleAfter is the age after which a member without reports gets no new units
	// and its estimates start to fade.
	StaleAfter time.Duration
	// HalfLife is the time in which half of a stale estimate fades to the mean.
	HalfLife time.Duration
	// KeyTTL is the age after which a heavy key that is not reported is dropped.
	KeyTTL time.Duration
	// MaxErrors is the share of failed requests, in percent, above which lower
	// measurements are ignored.
	MaxErrors uint8
	// Deadband is the relative change of an estimate that plans see. Smaller
	// changes leave the value that the last plan saw.
	Deadband float64
}

// DefaultLoadConfig returns the configuration for a cluster of members.
func DefaultLoadConfig(members int) LoadConfig {
	interval := ReportInterval(members)
	return LoadConfig{
		Rise: 6 * time.Second, Fall: 12 * time.Second, Lasting: time.Minute,
		StaleAfter: max(30*time.Second, 5*interval), HalfLife: time.Minute,
		KeyTTL: max(20*time.Second, 3*interval), MaxErrors: 10, Deadband: 0.02,
	}
}
