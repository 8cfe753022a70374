package daemon

import (
	"fmt"
	"sync"
	"time"

	vm "github.com/VictoriaMetrics/metrics"

	"github.com/basilway/basilway/verdict"
)

// outcomeKey holds the labels of a counter of requests.
type outcomeKey struct {
	service, tenant, class string
	verdict                verdict.Verdict
	reason                 verdict.Reason
}

// requestMetrics holds the metrics of callers' requests by their labels, because
// formatting a name and looking it up takes longer than the update. Tenants and classes
// come from the catalogue, so their number is bounded.
type requestMetrics struct {
	set      *vm.Set
	latency  sync.Map // [3]string of service, tenant and class to *vm.Histogram
	outcomes sync.Map // outcomeKey to *vm.Counter
}

// finished counts one finished request of a caller.
func (m *requestMetrics) finished(service, tenant, class string, latency time.Duration, err error) {
	m.histogram(service, tenant, class).Update(latency.Seconds())
	key := outcomeKey{service: service, tenant: tenant, class: class, verdict: verdict.Ran, reason: "ok"}
	if err != nil {
		v := verdict.From(err)
		key.verdict, key.reason = v.Verdict, v.Reason
	}
	m.counter(key).Inc()
}

func (m *requestMetrics) histogram(service, tenant, class string) *vm.Histogram {
	key := [3]string{service, tenant, class}
	if h, ok := m.latency.Load(key); ok {
		return h.(*vm.Histogram)
	}
	h := m.set.GetOrCreateHistogram(
		fmt.Sprintf("basilway_request_duration_seconds{service=%q,tenant=%q,class=%q}", service, tenant, class))
	m.latency.Store(key, h)
	return h
}

func (m *requestMetrics) counter(key outcomeKey) *vm.Counter {
	if c, ok := m.outcomes.Load(key); ok {
		return c.(*vm.Counter)
	}
	c := m.set.GetOrCreateCounter(fmt.Sprintf("basilway_requests_total{service=%q,tenant=%q,class=%q,verdict=%q,reason=%q}",
		key.service, key.tenant, key.class, key.verdict.String(), string(key.reason)))
	m.outcomes.Store(key, c)
	return c
}
