package node

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/basilway/basilway/coldstate"
	"github.com/basilway/basilway/internal/readahead"
	"github.com/basilway/basilway/memorybudget"
	"github.com/basilway/basilway/metastore"
)

// maxRouteLabels bounds the number of distinct route labels.
const maxRouteLabels = 400

// nodeMetrics holds the node's metrics.
type nodeMetrics struct {
	set *metrics.Set
	// unread is the time that requests waited on their connection before they ran, held the
	// time that responses waited for earlier ones.
	unread, held *metrics.Histogram
	// storeRollbacks counts how often the store was seen to go back to an earlier state.
	storeRollbacks *metrics.Counter

	mu     sync.Mutex
	routes map[string]bool
}

func newMetrics(n *Node) *nodeMetrics {
	m := &nodeMetrics{set: metrics.NewSet(), routes: map[string]bool{}}
	m.unread = m.set.NewHistogram("basilway_node_unread_seconds")
	m.storeRollbacks = m.set.NewCounter("basilway_node_store_rollbacks_total")
	m.set.NewGauge("basilway_node_store_generation", func() float64 { return float64(n.generation.generation()) })
	m.held = m.set.NewHistogram("basilway_node_response_held_seconds")
	m.set.NewGauge("basilway_node_running", func() float64 { return float64(n.backend.queue.load().running) })
	m.set.NewGauge("basilway_node_waiting", func() float64 { return float64(n.backend.queue.load().waiting) })
	m.set.NewGauge("basilway_node_slots", func() float64 { return float64(n.backend.queue.load().slots) })
	m.set.NewGauge("basilway_node_lease_seconds", func() float64 {
		until := n.lease.validUntil()
		if until.IsZero() {
			return 0
		}
		return until.Sub(n.now()).Seconds()
	})
	m.set.NewGauge("basilway_node_backend_limit", func() float64 {
		limit, _ := n.statuses.limit(n.backend.owner().Incarnation)
		return limit
	})
	m.set.NewGauge("basilway_node_backend_cold_rate", func() float64 { return n.backend.queue.load().coldRate })
	m.set.NewGauge("basilway_node_backend_sent_within_second", func() float64 { return float64(n.backend.queue.sentWithin()) })
	if n.backend.capacity != nil {
		m.set.NewGauge("basilway_node_learned_limit", func() float64 {
			learned, _ := n.backend.capacity.learned()
			return float64(learned.Limit)
		})
		m.set.NewGauge("basilway_node_learned_speed", func() float64 {
			learned, _ := n.backend.capacity.learned()
			return learned.speed()
		})
		m.set.NewGauge("basilway_node_learned_speed_changes_total", func() float64 { return float64(n.backend.capacity.speedChanges()) })
	}
	m.set.NewGauge("basilway_node_link_backlog_seconds", func() float64 { return n.pacer.backlog().Seconds() })
	m.set.NewGauge("basilway_node_client_connections", func() float64 { return float64(n.clients.count()) })
	m.set.NewGauge("basilway_node_response_buffer_bytes", func() float64 { return float64(n.buffers.bytes.Load()) })
	m.set.NewGauge("basilway_node_input_bytes", func() float64 { return float64(n.limiter.Used()) })
	m.set.NewGauge("basilway_node_members", func() float64 { return float64(len(n.views.current().Members)) })
	m.set.NewGauge("basilway_node_desired_state_version", func() float64 {
		if routes := n.views.current().Routes; routes != nil {
			return float64(routes.Version)
		}
		return 0
	})
	m.set.NewGauge("basilway_node_desired_state_warnings", func() float64 {
		if routes := n.views.current().Routes; routes != nil {
			return float64(len(routes.Warnings))
		}
		return 0
	})
	m.set.NewGauge("basilway_node_desired_state_read_age_seconds", func() float64 {
		return n.contact.age(tableOf(n.config.Protocol.DesiredStateRow())).Seconds()
	})
	m.set.NewGauge("basilway_node_desired_state_behind_seconds", func() float64 { return n.fetcher.behind().Seconds() })
	if n.evacuation.Enabled() {
		m.set.NewGauge("basilway_node_evacuated_zones", func() float64 { return float64(len(n.evacuatedZones())) })
	}
	if n.config.DroppedLines != nil {
		m.set.NewGauge("basilway_node_log_lines_blocked_total", func() float64 { return float64(n.config.DroppedLines()) })
	}
	return m
}

// label returns the route's name, or "other" for new routes once there are maxRouteLabels.
func (m *nodeMetrics) label(route string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.routes[route] {
		if len(m.routes) >= maxRouteLabels {
			return "other"
		}
		m.routes[route] = true
	}
	return route
}

// countServed counts a response of a backend server and the time it took.
func (m *nodeMetrics) countServed(route, caller string, status int, took time.Duration) {
	route = m.label(route)
	m.set.GetOrCreateCounter(fmt.Sprintf(`basilway_node_requests_total{route=%q,outcome=%q}`, route, strconv.Itoa(status))).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`basilway_node_request_seconds{route=%q,caller=%q}`, route, caller)).Update(took.Seconds())
}

// observeConnWait records how long a request waited on its client connection.
func (m *nodeMetrics) observeConnWait(wait readahead.Wait) {
	m.unread.Update(wait.Unread.Seconds())
	if wait.Held > 0 {
		m.held.Update(wait.Held.Seconds())
	}
}

// countUnanswered counts a request that got no response of a backend server.
func (m *nodeMetrics) countUnanswered(route, reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`basilway_node_requests_total{route=%q,outcome=%q}`, m.label(route), reason)).Inc()
}

// countDesiredState counts a desired state that was applied.
func (m *nodeMetrics) countDesiredState(forwarded bool) {
	source := "store"
	if forwarded {
		source = "node"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`basilway_node_desired_states_total{source=%q}`, source)).Inc()
}

// countResponseOverBound counts a response of the local backend server that was cut off at a bound.
func (m *nodeMetrics) countResponseOverBound(bound string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`basilway_node_responses_over_bound_total{bound=%q}`, bound)).Inc()
}

// countSlowReader counts a client connection that was closed because the client does not read.
func (m *nodeMetrics) countSlowReader() {
	m.set.GetOrCreateCounter("basilway_node_client_write_timeouts_total").Inc()
}

// countInputClosed counts a connection that was closed to free what it held.
func (m *nodeMetrics) countInputClosed(server string, a memorybudget.Activity) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`basilway_node_input_closed_total{server=%q,activity=%q}`, server, a)).Inc()
}

// countInputRefused counts a connection or a part of a request for which there was no room.
func (m *nodeMetrics) countInputRefused(server string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`basilway_node_input_refused_total{server=%q}`, server)).Inc()
}

// countStoreCall counts a call to the store.
func (m *nodeMetrics) countStoreCall(call, rows string, err error) {
	outcome := "ok"
	switch {
	case errors.Is(err, metastore.ErrConflict):
		outcome = "conflict"
	case errors.Is(err, metastore.ErrHistoryLost):
		outcome = "history_lost"
	case err != nil:
		outcome = "failed"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`basilway_node_store_calls_total{call=%q,rows=%q,outcome=%q}`, call, rows, outcome)).Inc()
}

// countMessage counts a message to another node, the bytes of its bodies, and whether it failed.
func (m *nodeMetrics) countMessage(path string, sent, received int, err error) {
	if err != nil {
		m.set.GetOrCreateCounter(fmt.Sprintf(`basilway_node_messages_failed_total{path=%q}`, path)).Inc()
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`basilway_node_messages_total{path=%q}`, path)).Inc()
	m.set.GetOrCreateCounter(fmt.Sprintf(`basilway_node_message_bytes_total{path=%q,direction="sent"}`, path)).Add(sent)
	m.set.GetOrCreateCounter(fmt.Sprintf(`basilway_node_message_bytes_total{path=%q,direction="received"}`, path)).Add(received)
}

// countForwarded counts a request that is sent to another node.
func (m *nodeMetrics) countForwarded(form messageForm) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`basilway_node_forwarded_total{form=%q}`, form)).Inc()
}

// countZone counts a request without a key by the availability zone that it is sent to.
func (m *nodeMetrics) countZone(service string, same bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`basilway_node_unkeyed_sent_total{service=%q,zone=%q}`, service, zoneLabel(same))).Inc()
}

// zoneLabel returns the label of what stays in the node's availability zone and of what leaves it.
func zoneLabel(same bool) string {
	if same {
		return "same"
	}
	return "other"
}

// countSent counts a request that is sent to the local backend server.
func (m *nodeMetrics) countSent(t ticket) {
	from := "client"
	switch {
	case t.instance != "":
		from = "node"
	case t.nested:
		from = "backend"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`basilway_node_backend_sent_total{from=%q,retry="%t"}`, from, t.retry)).Inc()
}

// countColdQuestion counts a question to the local backend server whether it is cold.
func (m *nodeMetrics) countColdQuestion(sign coldstate.Sign) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`basilway_node_cold_questions_total{reason=%q}`, sign)).Inc()
}

// countColdRefusal counts a request that was refused because the local backend server is cold.
func (m *nodeMetrics) countColdRefusal() {
	m.set.GetOrCreateCounter("basilway_node_cold_refusals_total").Inc()
}

// countEvacuation counts the begin or end of the evacuation of an availability zone.
func (m *nodeMetrics) countEvacuation(event string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`basilway_node_evacuations_total{event=%q}`, event)).Inc()
}

// countTakeover counts that this node took the planner role.
func (m *nodeMetrics) countTakeover(reason takeoverReason) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`basilway_node_planner_takeovers_total{reason=%q}`, reason)).Inc()
}

// countDroppedLine counts a log line that sampling dropped.
func (m *nodeMetrics) countDroppedLine() {
	m.set.GetOrCreateCounter("basilway_node_log_lines_dropped_total").Inc()
}

// ServeHTTP writes all metrics in the Prometheus text format.
func (m *nodeMetrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
