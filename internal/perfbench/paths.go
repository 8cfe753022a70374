package perfbench

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/basilway/basilway/internal/loadgen"
)

// The paths of a request.
const (
	pathDirect    = "direct"
	pathOwned     = "owned"
	pathForwarded = "forwarded"
)

var allPaths = []string{pathDirect, pathOwned, pathForwarded}

// PathsConfig names the processes of a comparison of paths. The owner owns all keys; the
// forwarder has no backend server.
type PathsConfig struct {
	Backend, Owner, Forwarder          string
	BackendPID, OwnerPID, ForwarderPID int
	Service                            string
	Rounds                             int
	Round                              time.Duration
	Callers                            int
	// Rate is the requests a second of the comparison of latencies.
	Rate float64
}

// PathResult is what callers saw on one path. Figures are medians of the rounds.
type PathResult struct {
	Path      string  `json:"path"`
	PerSecond float64 `json:"per_second"`
	// Share is the throughput divided by that of the direct path in the same round.
	Share     float64 `json:"share_of_direct"`
	P50Micros float64 `json:"p50_us"`
	P99Micros float64 `json:"p99_us"`
	// AddedP99 is the p99 less that of the direct path in the same round.
	AddedP99 float64 `json:"added_p99_us"`
	// Processor times for each answered request.
	OwnerMicros     float64           `json:"owner_cpu_us"`
	ForwarderMicros float64           `json:"forwarder_cpu_us"`
	BackendMicros   float64           `json:"backend_cpu_us"`
	Failed          map[string]uint64 `json:"failed"`
}

// PathsResult compares the paths as fast as possible and at a fixed rate.
type PathsResult struct {
	Callers int          `json:"callers"`
	Rate    float64      `json:"rate_per_second"`
	Fastest []PathResult `json:"fastest"`
	AtRate  []PathResult `json:"at_rate"`
}

// RunPaths alternates between the paths in short rounds, so that changes of the load of
// the machine meet all of them.
func RunPaths(ctx context.Context, c PathsConfig) (PathsResult, error) {
	result := PathsResult{Callers: c.Callers, Rate: c.Rate}
	var err error
	if result.Fastest, err = c.compare(ctx, 0, c.Callers); err != nil {
		return result, err
	}
	// Twice the callers, so that a slow request does not hold up the rate.
	result.AtRate, err = c.compare(ctx, c.Rate, 2*c.Callers)
	return result, err
}

func (c PathsConfig) compare(ctx context.Context, rate float64, callers int) ([]PathResult, error) {
	rounds := map[string][]PathResult{}
	for i := range c.Rounds + 1 {
		var direct PathResult
		for _, path := range allPaths {
			r, err := c.round(ctx, path, rate, callers)
			if err != nil {
				return nil, err
			}
			if path == pathDirect {
				direct = r
			}
			r.Share, r.AddedP99 = r.PerSecond/direct.PerSecond, r.P99Micros-direct.P99Micros
			if i > 0 { // the first round opens connections and fills caches
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

func (c PathsConfig) round(ctx context.Context, path string, rate float64, callers int) (PathResult, error) {
	urls := map[string]string{pathDirect: c.Backend, pathOwned: c.Owner, pathForwarded: c.Forwarder}
	before, err := c.processorTimes()
	if err != nil {
		return PathResult{}, err
	}
	r, err := loadgen.Run(ctx, loadgen.Config{
		URLs: []string{urls[path]}, Direct: path == pathDirect, Service: c.Service, Method: "echo", Keys: 1000,
		KeyPrefix: "clinic-", PayloadBytes: 64, Workers: callers, RatePerSecond: rate, Duration: c.Round,
		Timeout: 2 * time.Second, Seed: 1,
	})
	if err != nil {
		return PathResult{}, err
	}
	if r.Answered == 0 {
		return PathResult{}, trace.Errorf("no answer on path %s: %v", path, r.Failed)
	}
	after, err := c.processorTimes()
	if err != nil {
		return PathResult{}, err
	}
	each := func(i int) float64 { return (after[i] - before[i]).Seconds() * 1e6 / float64(r.Answered) }
	return PathResult{
		Path: path, PerSecond: r.PerSecond, P50Micros: float64(r.P50Micros), P99Micros: float64(r.P99Micros),
		BackendMicros: each(0), OwnerMicros: each(1), ForwarderMicros: each(2), Failed: r.Failed,
	}, nil
}

func (c PathsConfig) processorTimes() ([3]time.Duration, error) {
	var times [3]time.Duration
	for i, pid := range []int{c.BackendPID, c.OwnerPID, c.ForwarderPID} {
		var err error
		if times[i], err = processorTime(pid); err != nil {
			return times, err
		}
	}
	return times, nil
}

func medians(path string, rounds []PathResult) PathResult {
	of := func(value func(PathResult) float64) float64 {
		values := make([]float64, len(rounds))
		for i, r := range rounds {
			values[i] = value(r)
		}
		return median(values)
	}
	out := PathResult{
		Path:            path,
		PerSecond:       of(func(r PathResult) float64 { return r.PerSecond }),
		Share:           of(func(r PathResult) float64 { return r.Share }),
		P50Micros:       of(func(r PathResult) float64 { return r.P50Micros }),
		P99Micros:       of(func(r PathResult) float64 { return r.P99Micros }),
		AddedP99:        of(func(r PathResult) float64 { return r.AddedP99 }),
		OwnerMicros:     of(func(r PathResult) float64 { return r.OwnerMicros }),
		ForwarderMicros: of(func(r PathResult) float64 { return r.ForwarderMicros }),
		BackendMicros:   of(func(r PathResult) float64 { return r.BackendMicros }),
		Failed:          map[string]uint64{},
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
