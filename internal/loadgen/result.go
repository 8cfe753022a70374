package loadgen

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what a run measured. Latencies are those of answered requests.
type Result struct {
	Seconds   float64 `json:"seconds"`
	Sent      uint64  `json:"sent"`
	Answered  uint64  `json:"answered"`
	PerSecond float64 `json:"per_second"`
	P50Micros int64   `json:"p50_us"`
	P99Micros int64   `json:"p99_us"`
	MaxMicros int64   `json:"max_us"`
	// Failed counts requests without an answer by "reason/verdict".
	Failed map[string]uint64 `json:"failed,omitempty"`
	// ServedBy counts answers by instance.
	ServedBy map[string]uint64 `json:"served_by,omitempty"`
	// Forwarded counts answers that crossed two daemons.
	Forwarded uint64 `json:"forwarded"`
	// LongestGapMillis is the longest time without any answer.
	LongestGapMillis int64 `json:"longest_gap_ms"`
}

// Latencies up to a minute with three significant digits.
const (
	histogramMaxMicros = int64(time.Minute / time.Microsecond)
	histogramDigits    = 3
)

// recorder collects the figures of one worker.
type recorder struct {
	sent      uint64
	latency   *hdrhistogram.Histogram
	failed    map[string]uint64
	servedBy  map[string]uint64
	forwarded uint64
	answers   []time.Duration
}

func newRecorder() *recorder {
	return &recorder{
		latency:  hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
		failed:   map[string]uint64{},
		servedBy: map[string]uint64{},
	}
}

// answered records an answer that came at offset at from the start of the run.
func (r *recorder) answered(at, latency time.Duration, servedBy string, forwarded bool) {
	_ = r.latency.RecordValue(min(max(latency.Microseconds(), 1), histogramMaxMicros))
	r.servedBy[servedBy]++
	if forwarded {
		r.forwarded++
	}
	r.answers = append(r.answers, at)
}
