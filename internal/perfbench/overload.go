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

// OverloadConfig configures the overload of one backend server with a known service time. Daemon
// and Backend are base URLs.
type OverloadConfig struct {
	Daemon, Backend, Service string
	Slots                    int
	ServiceTime              time.Duration
	// Factor is the offered load divided by the capacity.
	Factor float64
	// Duration is the length of each of the two runs, and Freeze that of the freeze between
	// them.
	Duration, Freeze time.Duration
}

// OverloadResult holds the goodput as a share of the capacity, under overload and after a
// freeze. P99Micros and Failed are those of the overload before the freeze.
type OverloadResult struct {
	Factor             float64           `json:"factor"`
	Capacity           float64           `json:"capacity_per_second"`
	OverloadGoodput    float64           `json:"overloaded_share"`
	GoodputAfterFreeze float64           `json:"after_freeze_share"`
	P99Micros          int64             `json:"p99_us"`
	Failed             map[string]uint64 `json:"failed"`
	FailedAfterFreeze  map[string]uint64 `json:"failed_after_freeze"`
}

// overloadCallers is the number of concurrent callers. It is large enough to sustain the
// offered load while requests wait in the queue.
const overloadCallers = 256

// RunOverload measures the goodput under overload, freezes the backend server while the
// load continues, and measures the goodput again from the end of the freeze.
func RunOverload(ctx context.Context, c OverloadConfig) (OverloadResult, error) {
	capacity := float64(c.Slots) / c.ServiceTime.Seconds()
	result := OverloadResult{Factor: c.Factor, Capacity: capacity}
	first, err := c.runLoad(ctx, capacity, c.Duration)
	if err != nil {
		return result, err
	}
	result.OverloadGoodput, result.P99Micros, result.Failed = first.PerSecond/capacity, first.P99Micros, first.Failed
	if err := c.setFrozen(true); err != nil {
		return result, err
	}
	if _, err := c.runLoad(ctx, capacity, c.Freeze); err != nil {
		return result, err
	}
	if err := c.setFrozen(false); err != nil {
		return result, err
	}
	second, err := c.runLoad(ctx, capacity, c.Duration)
	result.GoodputAfterFreeze, result.FailedAfterFreeze = second.PerSecond/capacity, second.Failed
	return result, err
}

func (c OverloadConfig) runLoad(ctx context.Context, capacity float64, duration time.Duration) (loadgen.Result, error) {
	return loadgen.Run(ctx, loadgen.Config{
		URLs: []string{c.Daemon}, Service: c.Service, Method: "echo", Keys: 1000, KeyPrefix: "clinic-",
		PayloadBytes: 64, Workers: overloadCallers, RatePerSecond: c.Factor * capacity, Duration: duration,
		Timeout: 2 * time.Second, Seed: 2,
	})
}

func (c OverloadConfig) setFrozen(frozen bool) error {
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
