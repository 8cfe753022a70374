package loadgen

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result holds the measurements of a run. Latencies are those of answered requests.
type Result struct {
	Seconds float64 `json:"seconds"`
	Sent    uint64  `json:"sent"`
	// Answered counts requests with a successful response.
	Answered uint64 `json:"answered"`
	// PerSecond is the number of answered requests per second.
	PerSecond float64 `json:"per_second"`
	P50Micros int64   `json:"p50_us"`
	P99Micros int64   `json:"p99_us"`
	MaxMicros int64   `json:"max_us"`
	// Failed counts requests that ended with an error by "reason/verdict".
	Failed map[string]uint64 `json:"failed,omitempty"`
	// ServedBy counts responses by instance, or by base URL with Config.Direct.
	ServedBy map[string]uint64 `json:"served_by,omitempty"`
	// Forwarded counts responses to requests that one daemon forwarded to another.
	Forwarded uint64 `json:"forwarded"`
	// LongestGapMillis is the longest time without a response, from the start of the run to
	// the last response.
	LongestGapMillis int64 `json:"longest_gap_ms"`
}

// The histograms hold latencies of up to a minute with three significant digits.
const (
	histogramMaxMicros = int64(time.Minute / time.Microsecond)
	histogramDigits    = 3
)

// recorder collects the measurements of one worker.
type recorder struct {
	sent      uint64
	latency   *hdrhistogram.Histogram
	failed    map[string]uint64
	servedBy  map[string]uint64
	forwarded uint64
	// responseOffsets are the times of the responses from the start of the run.
	responseOffsets []time.Duration
}

func newRecorder() *recorder {
	return &recorder{
		latency:  hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
		failed:   map[string]uint64{},
		servedBy: map[string]uint64{},
	}
}

// recordResponse records a successful response that arrived at offset from the start of the
// run.
func (r *recorder) recordResponse(offset, latency time.Duration, servedBy string, forwarded bool) {
	_ = r.latency.RecordValue(min(max(latency.Microseconds(), 1), histogramMaxMicros))
	r.servedBy[servedBy]++
	if forwarded {
		r.forwarded++
	}
	r.responseOffsets = append(r.responseOffsets, offset)
}
