package capacity

import "time"

// Config holds the parameters of a Learner.
type Config struct {
	// Window is the time constant of the speed's short-term estimate.
	Window time.Duration
	// PriorRequests is the number of mean requests that the published speed counts as in the
	// short-term estimate. It keeps one long request from dominating an idle server's estimate.
	PriorRequests float64
	// Band is the deviation of the short-term estimate from the published speed, in powers of two,
	// that is attributed to noise. A new speed is published once the deviation beyond the band,
	// summed over time, exceeds Threshold. A 400 ms spell of threefold time stays below it.
	Band, Threshold float64
	// MinLate is the number of late requests, ended or running, that a lower speed needs.
	MinLate int
	// MinSpeed and MaxSpeed bound the published speed.
	MinSpeed, MaxSpeed float64
	// NominalFrom is the published speed from which completed requests update the usual times. Below
	// it, a temporary slowdown would be learned as usual.
	NominalFrom float64
	// Tracking is the time constant with which a published speed below NominalFrom follows the
	// short-term estimate.
	Tracking time.Duration
	// RecoveryEvidence is the logarithm of the likelihood ratio from which a slow server counts as
	// recovered, and LogSpread the standard deviation of the logarithm of a request's time that it
	// assumes.
	RecoveryEvidence, LogSpread float64
	// Relaxation is the time constant with which a published speed near 1 returns to 1, while the
	// usual times take up the difference.
	Relaxation time.Duration
	// IdleAfter is the time without evidence after which the published speed returns to 1, so that
	// a server that gets no requests is tried again.
	IdleAfter time.Duration
	// NominalWeight is the weight of one completed request in the usual time of its route, and
	// NominalRequests the number of requests after which a route counts as evidence.
	NominalWeight   float64
	NominalRequests int
	// FasterWeight is NominalWeight while the published speed is above 1.
	FasterWeight float64
	// MaxUsualRatio bounds the time with which one request counts in the usual time, so that a short
	// spell does not change what the server is compared with.
	MaxUsualRatio float64
	// OverdueFactor is the multiple of its expected time from which a running request counts.
	OverdueFactor float64
	// MaxRatio bounds the multiple of its expected time as which one request counts in the short-term
	// estimate, so that few long ones don't look like a slow server. MaxOverdue does so for running
	// requests where a new speed is computed.
	MaxRatio   float64
	MaxOverdue float64
	// ReportedWeight is the weight of the server's own statement, in mean requests.
	ReportedWeight float64

	// KneeRatio is the ratio of the speed at full to that at light load below which lower limits are
	// tried.
	KneeRatio float64
	// LowerStep and RaiseStep are the ratios of a tried limit to the present one.
	LowerStep, RaiseStep float64
	// KeepShare is the share of the work per second at the present limit that a lower limit must
	// reach, and GainShare the one that a higher limit must reach.
	KeepShare, GainShare float64
	// EarlyFailureShare is the share below which a trial fails after its first two phases, and EarlySuccessShare
	// the one from which it succeeds then.
	EarlyFailureShare, EarlySuccessShare float64
	// MinPhase and MaxPhase bound the time for which a limit is tried, and PhaseRequests is its
	// length in mean requests. MinCompleted is the number of requests that a phase must complete.
	MinPhase, MaxPhase time.Duration
	PhaseRequests      float64
	MinCompleted       int
	// Confirmations is the number of consecutive successful trials that first lower the limit.
	Confirmations int
	// RaiseInterval is the time between two trials of a higher limit. MinPause and MaxPause bound the
	// pause after a failed trial of a lower one; it doubles with each.
	RaiseInterval, MinPause, MaxPause time.Duration
}

// DefaultConfig returns the configuration that the daemon uses.
func DefaultConfig() Config {
	return Config{
		Window: 300 * time.Millisecond, PriorRequests: 1, Band: 0.5, Threshold: 0.5, MinLate: 2, MinSpeed: 0.05, MaxSpeed: 3,
		NominalFrom: 0.7, RecoveryEvidence: 5.5, LogSpread: 0.7, Tracking: 250 * time.Millisecond, Relaxation: time.Second, IdleAfter: time.Second, NominalWeight: 0.002, FasterWeight: 0.02, NominalRequests: 20, MaxUsualRatio: 2,
		OverdueFactor: 1.5, MaxRatio: 5, MaxOverdue: 30, ReportedWeight: 0.2,
		KneeRatio: 0.6, LowerStep: 0.85, RaiseStep: 1.1, KeepShare: 0.97, GainShare: 1.04, EarlyFailureShare: 0.85, EarlySuccessShare: 1.3,
		MinPhase: 500 * time.Millisecond, MaxPhase: 2 * time.Second, PhaseRequests: 5, MinCompleted: 8, Confirmations: 2,
		RaiseInterval: 4 * time.Second, MinPause: 2 * time.Second, MaxPause: 16 * time.Second,
	}
}
