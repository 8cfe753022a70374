package daemon

import (
	"fmt"
	"sync"
	"time"

	vm "github.com/VictoriaMetrics/metrics"

	"github.com/basilway/basilway/verdict"
)

// outcomeKey holds the labels of a request counter.
type outcomeKey struct {
	service, team, class string
	verdict              verdict.Verdict
	reason               verdict.Reason
}

// requestMetrics caches the metrics of callers' requests by their labels, because
// formatting a name and looking it up takes longer than the update. Teams and classes
// come from the catalogue, so their number is bounded.
type requestMetrics struct {
	set      *vm.Set
	latency  sync.Map // [3]string of service, team and class to *vm.Histogram
	outcomes sync.Map // outcomeKey to *vm.Counter
}

// finished records one finished request of a caller.
func (m *requestMetrics) finished(service, team, class string, latency time.Duration, err error) {
	m.histogram(service, team, class).Update(latency.Seconds())
	key := outcomeKey{service: service, team: team, class: class, verdict: verdict.Ran, reason: "ok"}
	if err != nil {
		v := verdict.From(err)
		key.verdict, key.reason = v.Verdict, v.Reason
	}
	m.counter(key).Inc()
}

func (m *requestMetrics) histogram(service, team, class string) *vm.Histogram {
	key := [3]string{service, team, class}
	if h, ok := m.latency.Load(key); ok {
		return h.(*vm.Histogram)
	}
	h := m.set.GetOrCreateHistogram(
		fmt.Sprintf("basilway_request_duration_seconds{service=%q,team=%q,class=%q}", service, team, class))
	m.latency.Store(key, h)
	return h
}

func (m *requestMetrics) counter(key outcomeKey) *vm.Counter {
	if c, ok := m.outcomes.Load(key); ok {
		return c.(*vm.Counter)
	}
	c := m.set.GetOrCreateCounter(fmt.Sprintf("basilway_requests_total{service=%q,team=%q,class=%q,verdict=%q,reason=%q}",
		key.service, key.team, key.class, key.verdict.String(), string(key.reason)))
	m.outcomes.Store(key, c)
	return c
}
