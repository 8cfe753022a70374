package perfbench

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/basilway/basilway/internal/backendsim"
	"github.com/basilway/basilway/internal/loadgen"
)

// OverloadConfig describes an overload of one backend server with a known service time.
type OverloadConfig struct {
	Daemon, Backend, Service string
	Slots                    int
	ServiceTime              time.Duration
	// Factor is the offered load divided by the capacity.
	Factor float64
	// Duration is the length of each run, and Freeze that of the freeze between them.
	Duration, Freeze time.Duration
}

// OverloadResult is the goodput as a share of the capacity.
type OverloadResult struct {
	Factor       float64           `json:"factor"`
	Capacity     float64           `json:"capacity_per_second"`
	Overloaded   float64           `json:"overloaded_share"`
	AfterFreeze  float64           `json:"after_freeze_share"`
	P99Micros    int64             `json:"p99_us"`
	Failed       map[string]uint64 `json:"failed"`
	FailedFrozen map[string]uint64 `json:"failed_after_freeze"`
}

// overloadCallers is enough callers for the offered load while requests wait in the queue.
const overloadCallers = 256

// RunOverload measures the goodput at the overload, and again from the end of a freeze
// during which the load goes on.
func RunOverload(ctx context.Context, c OverloadConfig) (OverloadResult, error) {
	capacity := float64(c.Slots) / c.ServiceTime.Seconds()
	result := OverloadResult{Factor: c.Factor, Capacity: capacity}
	first, err := c.load(ctx, capacity, c.Duration)
	if err != nil {
		return result, err
	}
	result.Overloaded, result.P99Micros, result.Failed = first.PerSecond/capacity, first.P99Micros, first.Failed
	if err := c.freeze(true); err != nil {
		return result, err
	}
	if _, err := c.load(ctx, capacity, c.Freeze); err != nil {
		return result, err
	}
	if err := c.freeze(false); err != nil {
		return result, err
	}
	second, err := c.load(ctx, capacity, c.Duration)
	result.AfterFreeze, result.FailedFrozen = second.PerSecond/capacity, second.Failed
	return result, err
}

func (c OverloadConfig) load(ctx context.Context, capacity float64, duration time.Duration) (loadgen.Result, error) {
	return loadgen.Run(ctx, loadgen.Config{
		URLs: []string{c.Daemon}, Service: c.Service, Method: "echo", Keys: 1000, KeyPrefix: "clinic-",
		PayloadBytes: 64, Workers: overloadCallers, RatePerSecond: c.Factor * capacity, Duration: duration,
		Timeout: 2 * time.Second, Seed: 2,
	})
}

func (c OverloadConfig) freeze(frozen bool) error {
	body, err := json.Marshal(backendsim.Faults{Frozen: frozen})
	if err != nil {
		return trace.Wrap(err)
	}
	res, err := http.Post(c.Backend+"/control", "application/json", bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return trace.Errorf("backend server answered %s", res.Status)
	}
	return nil
}
