package policybench

import (
	"slices"
	"time"
)

// Result holds the measurements of one policy in one series.
type Result struct {
	Size   string `json:"size"`
	Series string `json:"series"`
	Policy string `json:"policy"`
	// Steady is the mean imbalance over the last 300 s. P99 is the 99th percentile of the
	// imbalance after the first 120 s.
	Steady float64 `json:"imbalanceSteady"`
	P99    float64 `json:"imbalanceP99"`
	// Recovery is the longest time in seconds for which the imbalance stayed over 1.5.
	Recovery int `json:"recoverySeconds"`
	// KeyChurn and LoadChurn are the shares of all keys and of the load that changed owner
	// per hour. ForcedChurn is the share of keys per hour whose owner drained or was lost.
	KeyChurn    float64 `json:"keyChurnPerHour"`
	LoadChurn   float64 `json:"loadChurnPerHour"`
	ForcedChurn float64 `json:"forcedKeyChurnPerHour"`
	// Unavailable is the time that keys were without an owner, in key-seconds.
	Unavailable float64 `json:"unavailableKeySeconds"`
	// LossMoved is the number of keys moved within 60 s of a loss, divided by the number of
	// keys of the lost members; 0 without a loss.
	LossMoved float64 `json:"lossMovedPerLost"`
	// LossKeys is the share of all keys that moved within 60 s of a loss.
	LossKeys float64 `json:"lossKeys"`
	// Shed is the number of requests that found a full queue, and ShedShare their share of
	// all requests.
	Shed      float64 `json:"shedRequests"`
	ShedShare float64 `json:"shedShare"`
	// LateMoves is the number of units that changed owner in the last 900 s.
	LateMoves int `json:"lateMoves"`
	// Ranges and HotKeys are the numbers of units at the end of the series.
	Ranges  int `json:"ranges"`
	HotKeys int `json:"hotKeys"`
	// PlanMax is the longest time that a plan took. Parallel simulations affect it.
	PlanMax time.Duration `json:"planMaxNanoseconds"`
}

// imbalanceWindow is the time in seconds over which the offered load is summed for the
// imbalance.
const imbalanceWindow = 10

const (
	warmUp         = 120  // s after the first assignment that do not count for P99 and Recovery
	steadyWindow   = 300  // s at the end that count for Steady
	highImbalance  = 1.5  // imbalance limit of design section 1.7 after a change of hot keys
	plannedMoveGap = 0.02 // s without an owner in a planned move
	lossGap        = 2.0  // s without an owner after a loss
	lateWindow     = 900  // s at the end that count for LateMoves
	lossWindow     = 60   // s after a loss that count for LossMoved
)

// imbalanceStats collects the imbalance of each second and the longest time over
// highImbalance.
type imbalanceStats struct {
	imbalance          []float64
	highSeconds        int
	longestHighSeconds int
}

func (s *imbalanceStats) add(t int, value float64) {
	if t < warmUp {
		return
	}
	s.imbalance = append(s.imbalance, value)
	if value > highImbalance {
		s.highSeconds++
		s.longestHighSeconds = max(s.longestHighSeconds, s.highSeconds)
	} else {
		s.highSeconds = 0
	}
}

func (s *imbalanceStats) finish(r *Result) {
	tail := s.imbalance[max(0, len(s.imbalance)-steadyWindow):]
	for _, v := range tail {
		r.Steady += v / float64(len(tail))
	}
	sorted := slices.Clone(s.imbalance)
	slices.Sort(sorted)
	r.P99 = sorted[len(sorted)*99/100]
	r.Recovery = s.longestHighSeconds
}
