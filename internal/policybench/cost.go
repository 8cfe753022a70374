package policybench

import (
	"runtime"
	"time"
)

// costWarmUp is the time in seconds after which loads and hot keys are known.
const costWarmUp = 60

// MeasureCost measures one plan of policy at size while hot keys change. Nothing else
// may run beside it.
func MeasureCost(size Size, policy Policy, seed uint64) (Cost, error) {
	series := Series{Duration: costWarmUp + 1, Hot: steadyHot}
	s := newSim(size, series, policy, seed)
	for t := range costWarmUp {
		if err := s.step(t); err != nil {
			return Cost{}, err
		}
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	began := time.Now()
	err := s.plan(costWarmUp)
	elapsed := time.Since(began)
	runtime.ReadMemStats(&after)
	return Cost{Policy: policy.Name(), Time: elapsed, Bytes: after.TotalAlloc - before.TotalAlloc}, err
}
