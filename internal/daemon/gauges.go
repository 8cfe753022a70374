package daemon

import (
	"fmt"
	"time"

	"github.com/basilway/basilway/internal/wire"
)

// registerGauges registers the metrics whose values are read when metrics are written.
func (d *Daemon) registerGauges() {
	m := d.metrics
	m.gauge("basilway_lease_remaining_seconds", func() float64 {
		return d.current.Load().lease.clock.remaining(time.Now()).Seconds()
	})
	m.gauge("basilway_lease_check_gap_total", func() float64 { return float64(d.backend.client.Status().LateWrites) })
	m.gauge("basilway_cluster_version", func() float64 { return float64(d.replicas.cluster().Version) })
	m.gauge("basilway_catalogue_version", func() float64 { return float64(d.replicas.catalogue().Version()) })
	m.gauge("basilway_members", func() float64 { return float64(len(d.replicas.cluster().Members)) })
	m.gauge("basilway_units_owned", func() float64 {
		return float64(len(d.replicas.cluster().UnitsOf(d.current.Load().session)))
	})
	m.gauge("basilway_requests_on_backend", func() float64 { return float64(d.current.Load().inFlight.len()) })
	m.gauge("basilway_requests_queued", func() float64 { return float64(d.slots.stats().Queued) })
	m.gauge("basilway_admission_limit", func() float64 { return float64(d.slots.stats().Limit) })
	m.gauge("basilway_peer_connections", func() float64 { return float64(d.pool.Stats().Connections) })
	m.gauge("basilway_peer_late_answers_total", func() float64 { return float64(d.pool.Stats().LateResponses) })
	m.gauge("basilway_peer_duplicate_answers_total", func() float64 { return float64(d.pool.Stats().DuplicateResponses) })
	m.gauge("basilway_peer_unknown_answers_total", func() float64 { return float64(d.pool.Stats().UnknownResponses) })
	m.gauge("basilway_peer_sent_messages_total", func() float64 { return float64(d.pool.Stats().SentMessages) })
	m.gauge("basilway_peer_received_messages_total", func() float64 { return float64(d.pool.Stats().ReceivedMessages) })
	m.gauge("basilway_peer_dials_total", func() float64 { return float64(d.pool.Stats().Dials) })
	m.gauge("basilway_peer_accepts_total", func() float64 { return float64(d.pool.Stats().Accepts) })
	for kind := wire.KindForward; kind <= wire.KindNotLost; kind++ {
		m.gauge(fmt.Sprintf("basilway_peer_sent_bytes_total{kind=%q}", kind), func() float64 {
			return float64(d.pool.Stats().Kinds[uint8(kind)].SentBytes)
		})
		m.gauge(fmt.Sprintf("basilway_peer_received_bytes_total{kind=%q}", kind), func() float64 {
			return float64(d.pool.Stats().Kinds[uint8(kind)].ReceivedBytes)
		})
	}
}
