package policybench

import (
	"runtime"
	"time"
)

// costWarmUpSeconds is the simulated time after which the load model knows the loads and
// hot keys.
const costWarmUpSeconds = 60

// MeasureCost measures one plan of policy at size after the warm-up. Nothing else may run
// in the process meanwhile: the allocated memory is that of the whole process.
func MeasureCost(size Size, policy Policy, seed uint64) (Cost, error) {
	series := Series{Duration: costWarmUpSeconds + 1, Hot: steadyHot}
	s := newSim(size, series, policy, seed)
	for t := range costWarmUpSeconds {
		if err := s.step(t); err != nil {
			return Cost{}, err
		}
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	began := time.Now()
	err := s.plan(costWarmUpSeconds)
	elapsed := time.Since(began)
	runtime.ReadMemStats(&after)
	return Cost{Policy: policy.Name(), Time: elapsed, Bytes: after.TotalAlloc - before.TotalAlloc}, err
}
