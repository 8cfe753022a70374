package perfbench

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/basilway/basilway/internal/loadgen"
)

// The paths of a request: directly to the backend server, through the daemon that owns the
// key, and through a daemon that forwards it to the owner.
const (
	pathDirect    = "direct"
	pathOwned     = "owned"
	pathForwarded = "forwarded"
)

var allPaths = []string{pathDirect, pathOwned, pathForwarded}

// PathsConfig configures a comparison of paths. Backend, Owner and Forwarder are base URLs. The
// daemon Owner owns all keys; the daemon Forwarder has no backend server.
type PathsConfig struct {
	Backend, Owner, Forwarder          string
	BackendPID, OwnerPID, ForwarderPID int
	Service                            string
	Rounds                             int
	RoundLength                        time.Duration
	Callers                            int
	// Rate is the number of requests per second in the comparison of latencies.
	Rate float64
}

// PathResult holds the measurements of one path: medians of the rounds, except Failed, which
// is a sum.
type PathResult struct {
	Path      string  `json:"path"`
	PerSecond float64 `json:"per_second"`
	// ShareOfDirect is the throughput divided by that of the direct path in the same round.
	ShareOfDirect float64 `json:"share_of_direct"`
	P50Micros     float64 `json:"p50_us"`
	P99Micros     float64 `json:"p99_us"`
	// AddedP99Micros is the p99 minus that of the direct path in the same round.
	AddedP99Micros float64 `json:"added_p99_us"`
	// CPU times per answered request.
	OwnerCPUMicros     float64           `json:"owner_cpu_us"`
	ForwarderCPUMicros float64           `json:"forwarder_cpu_us"`
	BackendCPUMicros   float64           `json:"backend_cpu_us"`
	Failed             map[string]uint64 `json:"failed"`
}

// PathsResult compares the paths without a rate limit and at a fixed rate.
type PathsResult struct {
	Callers   int          `json:"callers"`
	Rate      float64      `json:"rate_per_second"`
	Unlimited []PathResult `json:"fastest"`
	AtRate    []PathResult `json:"at_rate"`
}

// RunPaths alternates between the paths in short rounds, so that changes of the machine's
// load affect all of them alike.
func RunPaths(ctx context.Context, c PathsConfig) (PathsResult, error) {
	result := PathsResult{Callers: c.Callers, Rate: c.Rate}
	var err error
	if result.Unlimited, err = c.compare(ctx, 0, c.Callers); err != nil {
		return result, err
	}
	// Use twice the callers, so that slow requests do not lower the rate.
	result.AtRate, err = c.compare(ctx, c.Rate, 2*c.Callers)
	return result, err
}

func (c PathsConfig) compare(ctx context.Context, rate float64, callers int) ([]PathResult, error) {
	rounds := map[string][]PathResult{}
	for i := range c.Rounds + 1 {
		var direct PathResult
		for _, path := range allPaths {
			r, err := c.runRound(ctx, path, rate, callers)
			if err != nil {
				return nil, err
			}
			if path == pathDirect {
				direct = r
			}
			r.ShareOfDirect, r.AddedP99Micros = r.PerSecond/direct.PerSecond, r.P99Micros-direct.P99Micros
			if i > 0 { // skip the first round: it opens connections and fills caches
				rounds[path] = append(rounds[path], r)
			}
		}
	}
	var out []PathResult
	for _, path := range allPaths {
		out = append(out, medians(path, rounds[path]))
	}
	return out, nil
}

func (c PathsConfig) runRound(ctx context.Context, path string, rate float64, callers int) (PathResult, error) {
	urls := map[string]string{pathDirect: c.Backend, pathOwned: c.Owner, pathForwarded: c.Forwarder}
	before, err := c.cpuTimes()
	if err != nil {
		return PathResult{}, err
	}
	r, err := loadgen.Run(ctx, loadgen.Config{
		URLs: []string{urls[path]}, Direct: path == pathDirect, Service: c.Service, Method: "echo", Keys: 1000,
		KeyPrefix: "clinic-", PayloadBytes: 64, Workers: callers, RatePerSecond: rate, Duration: c.RoundLength,
		Timeout: 2 * time.Second, Seed: 1,
	})
	if err != nil {
		return PathResult{}, err
	}
	if r.Answered == 0 {
		return PathResult{}, trace.Errorf("no request succeeded on path %s: %v", path, r.Failed)
	}
	after, err := c.cpuTimes()
	if err != nil {
		return PathResult{}, err
	}
	cpuMicros := func(i int) float64 { return (after[i] - before[i]).Seconds() * 1e6 / float64(r.Answered) }
	return PathResult{
		Path: path, PerSecond: r.PerSecond, P50Micros: float64(r.P50Micros), P99Micros: float64(r.P99Micros),
		BackendCPUMicros: cpuMicros(0), OwnerCPUMicros: cpuMicros(1), ForwarderCPUMicros: cpuMicros(2), Failed: r.Failed,
	}, nil
}

func (c PathsConfig) cpuTimes() ([3]time.Duration, error) {
	var times [3]time.Duration
	for i, pid := range []int{c.BackendPID, c.OwnerPID, c.ForwarderPID} {
		var err error
		if times[i], err = cpuTime(pid); err != nil {
			return times, err
		}
	}
	return times, nil
}

func medians(path string, rounds []PathResult) PathResult {
	medianOf := func(value func(PathResult) float64) float64 {
		values := make([]float64, len(rounds))
		for i, r := range rounds {
			values[i] = value(r)
		}
		return median(values)
	}
	out := PathResult{
		Path:               path,
		PerSecond:          medianOf(func(r PathResult) float64 { return r.PerSecond }),
		ShareOfDirect:      medianOf(func(r PathResult) float64 { return r.ShareOfDirect }),
		P50Micros:          medianOf(func(r PathResult) float64 { return r.P50Micros }),
		P99Micros:          medianOf(func(r PathResult) float64 { return r.P99Micros }),
		AddedP99Micros:     medianOf(func(r PathResult) float64 { return r.AddedP99Micros }),
		OwnerCPUMicros:     medianOf(func(r PathResult) float64 { return r.OwnerCPUMicros }),
		ForwarderCPUMicros: medianOf(func(r PathResult) float64 { return r.ForwarderCPUMicros }),
		BackendCPUMicros:   medianOf(func(r PathResult) float64 { return r.BackendCPUMicros }),
		Failed:             map[string]uint64{},
	}
	for _, r := range rounds {
		for reason, n := range r.Failed {
			out.Failed[reason] += n
		}
	}
	return out
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	values = slices.Sorted(slices.Values(values))
	return values[len(values)/2]
}
