package daemon

import (
	"fmt"
	"io"
	"time"

	vm "github.com/VictoriaMetrics/metrics"

	"github.com/basilway/basilway/verdict"
)

// metrics are the daemon's own; they are written together with those of the process.
type metrics struct {
	set       *vm.Set
	forwarded *vm.Counter
	received  *vm.Counter
	retries   *vm.Counter
	planTime  *vm.Histogram
	moves     *vm.Counter
}

func newMetrics() *metrics {
	set := vm.NewSet()
	return &metrics{
		set:       set,
		forwarded: set.NewCounter("basilway_requests_forwarded_total"),
		received:  set.NewCounter("basilway_requests_received_from_daemons_total"),
		retries:   set.NewCounter("basilway_retries_total"),
		planTime:  set.NewHistogram("basilway_plan_duration_seconds"),
		moves:     set.NewCounter("basilway_plan_entries_total"),
	}
}

// request counts one finished request of a caller. Tenant and class come from the
// catalogue, so their number is bounded.
func (m *metrics) request(service, tenant, class string, latency time.Duration, err error) {
	labels := fmt.Sprintf("service=%q,tenant=%q,class=%q", service, tenant, class)
	m.set.GetOrCreateHistogram("basilway_request_duration_seconds{" + labels + "}").Update(latency.Seconds())
	outcome, reason := verdict.Ran.String(), "ok"
	if err != nil {
		v := verdict.From(err)
		outcome, reason = v.Verdict.String(), string(v.Reason)
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("basilway_requests_total{%s,verdict=%q,reason=%q}", labels, outcome, reason)).Inc()
}

// gauge registers a value that is read when metrics are written.
func (m *metrics) gauge(name string, value func() float64) { m.set.NewGauge(name, value) }

func (m *metrics) write(w io.Writer) {
	m.set.WritePrometheus(w)
	vm.WriteProcessMetrics(w)
}
