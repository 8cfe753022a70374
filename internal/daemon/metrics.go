package daemon

import (
	"io"

	vm "github.com/VictoriaMetrics/metrics"
)

// metrics holds the daemon's metrics; write adds those of the process.
type metrics struct {
	set         *vm.Set
	forwarded   *vm.Counter
	received    *vm.Counter
	retries     *vm.Counter
	moveWait    *vm.Histogram
	planTime    *vm.Histogram
	planEntries *vm.Counter
	requests    *requestMetrics
}

func newMetrics() *metrics {
	set := vm.NewSet()
	return &metrics{
		set:         set,
		forwarded:   set.NewCounter("basilway_requests_forwarded_total"),
		received:    set.NewCounter("basilway_requests_received_from_daemons_total"),
		retries:     set.NewCounter("basilway_retries_total"),
		moveWait:    set.NewHistogram("basilway_move_wait_seconds"),
		planTime:    set.NewHistogram("basilway_plan_duration_seconds"),
		planEntries: set.NewCounter("basilway_plan_entries_total"),
		requests:    &requestMetrics{set: set},
	}
}

// gauge registers a value that is read when metrics are written.
func (m *metrics) gauge(name string, value func() float64) { m.set.NewGauge(name, value) }

func (m *metrics) write(w io.Writer) {
	m.set.WritePrometheus(w)
	vm.WriteProcessMetrics(w)
}
