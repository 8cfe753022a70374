package policybench

import (
	"slices"
	"time"
)

// Result is what a policy did in one series.
type Result struct {
	Size   string `json:"size"`
	Series string `json:"series"`
	Policy string `json:"policy"`
	// Steady is the mean imbalance of the last 300 s, P99 that over the time after the
	// first 120 s.
	Steady float64 `json:"imbalanceSteady"`
	P99    float64 `json:"imbalanceP99"`
	// Recovery is the longest time in seconds with an imbalance over 1.5.
	Recovery int `json:"recoverySeconds"`
	// KeyChurn and LoadChurn are the shares of keys and load that changed owner for
	// each hour, and ForcedChurn is the share of keys whose owner drained or was lost.
	KeyChurn    float64 `json:"keyChurnPerHour"`
	LoadChurn   float64 `json:"loadChurnPerHour"`
	ForcedChurn float64 `json:"forcedKeyChurnPerHour"`
	// Unavailable is the time of keys without an owner in key-seconds.
	Unavailable float64 `json:"unavailableKeySeconds"`
	// LossMoved is the share of keys moved within 60 s of a loss, for each key of a
	// lost member; 0 without a loss.
	LossMoved float64 `json:"lossMovedPerLost"`
	// LossKeys is the share of all keys moved within 60 s of a loss.
	LossKeys float64 `json:"lossKeys"`
	// Shed is the number of requests that found a full queue, ShedShare their share.
	Shed      float64 `json:"shedRequests"`
	ShedShare float64 `json:"shedShare"`
	// LateMoves is the number of units that changed owner in the last 900 s.
	LateMoves int `json:"lateMoves"`
	Ranges    int `json:"ranges"`
	HotKeys   int `json:"hotKeys"`
	// PlanMax is the longest time of a plan; runs go on in parallel.
	PlanMax time.Duration `json:"planMaxNanoseconds"`
}

// window is the time in seconds over which busy slot time is summed for the imbalance.
const window = 10

const (
	warmUp     = 120  // s after the first assignment that do not count for P99
	steadyTime = 300  // s at the end that count for Steady
	high       = 1.5  // imbalance of design section 1.7 after a change of hot keys
	plannedGap = 0.02 // s without an owner in a planned move
	lossGap    = 2.0  // s without an owner after a loss
	lateTime   = 900  // s at the end that count for LateMoves
	lossTime   = 60   // s after a loss that count for LossMoved
)

type samples struct {
	imbalance []float64
	overFor   int
	longest   int
}

func (s *samples) add(t int, value float64) {
	if t < warmUp {
		return
	}
	s.imbalance = append(s.imbalance, value)
	if value > high {
		s.overFor++
		s.longest = max(s.longest, s.overFor)
	} else {
		s.overFor = 0
	}
}

func (s *samples) finish(r *Result) {
	tail := s.imbalance[max(0, len(s.imbalance)-steadyTime):]
	for _, v := range tail {
		r.Steady += v / float64(len(tail))
	}
	sorted := slices.Clone(s.imbalance)
	slices.Sort(sorted)
	r.P99 = sorted[len(sorted)*99/100]
	r.Recovery = s.longest
}
