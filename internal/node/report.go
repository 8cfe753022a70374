package node

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
)

// report is what a node sends to the planner.
type report struct {
	Instance string `cbor:"1,keyasint"`
	// Demand is the work that this node's clients requested, by service.
	Demand map[string][]keyWork `cbor:"2,keyasint"`
	// Work is the mean time in microseconds of a request on the backend server beside the
	// node, by route.
	Work map[string]uint32 `cbor:"3,keyasint"`
	// Cold is set while the backend server is slow after its start.
	Cold bool `cbor:"4,keyasint"`
	// Limit is the limit in requests per second that the backend server names; nil if it names
	// none.
	Limit *float64 `cbor:"6,keyasint,omitempty"`
	// Vouched are the ranges that the node vouches for in Generation and that are not recorded
	// yet. The planner records them together with those of others.
	Vouched    []vouchedRange `cbor:"7,keyasint,omitempty"`
	Generation uint64         `cbor:"8,keyasint,omitempty"`
	// Lease asks the planner to renew the node's lease together with others.
	Lease *renewalRequest `cbor:"5,keyasint,omitempty"`
}

// reportResponse is the planner's response to a report.
type reportResponse struct {
	// Renewed is the last renewal of the node's lease by the planner.
	Renewed *leaseRenewal `cbor:"1,keyasint,omitempty"`
	// StoreVersion is the newest version of the store at StoreNow, a time in milliseconds by
	// the store's clock. Members learn from it how old a version is without store calls of
	// their own.
	StoreVersion uint64 `cbor:"2,keyasint,omitempty"`
	StoreNow     int64  `cbor:"3,keyasint,omitempty"`
}

const (
	// reportInterval is the mean time between two reports. Hot keys are detected after two
	// or three of them.
	reportInterval = 400 * time.Millisecond
	// reportTimeout bounds one report.
	reportTimeout = 700 * time.Millisecond
	// maxMissedReports is the number of consecutive failed reports after which this node
	// checks whether it should become the planner.
	maxMissedReports = 3
)

// runReports sends reports to the planner, and tries to become the planner if there is none
// or if it accepts no reports.
func (n *Node) runReports(ctx context.Context) {
	missed := 0
	for ctx.Err() == nil {
		sleep(ctx, jitter(reportInterval*4/3))
		view := n.views.current()
		if view.Planner.Instance == n.config.Instance {
			n.lease.confirm(n.planner.handleReport(n.report()))
			missed = 0
			continue
		}
		if !view.Listed {
			continue
		}
		if err := n.sendReport(ctx, view); err != nil {
			missed++
			n.log.Debug("report not delivered", zap.String("planner", view.Planner.Instance), zap.Error(err))
		} else {
			missed = 0
		}
		if missed >= maxMissedReports || view.Planner.Instance == "" {
			n.planner.tryBecomePlanner(ctx)
			missed = 0
		}
	}
}

func (n *Node) report() report {
	r := report{Instance: n.config.Instance, Demand: n.demand.take(), Work: map[string]uint32{}, Lease: n.lease.requestRenewal()}
	for route, work := range n.backend.queue.workByRoute() {
		r.Work[route] = uint32(work.Microseconds())
	}
	if limit, limited := n.statuses.limit(n.backend.owner().Incarnation); limited {
		r.Limit = &limit
	}
	r.Vouched, r.Generation = n.backend.vouchedRanges()
	n.backend.mu.Lock()
	defer n.backend.mu.Unlock()
	r.Cold = n.backend.tracker != nil && n.now().Before(n.backend.lastHeartbeatAt.Add(n.backend.lastHeartbeat.WarmUpLeft))
	return r
}

func (n *Node) sendReport(ctx context.Context, view *View) error {
	m, ok := view.Members[view.Planner.Instance]
	if !ok {
		return fmt.Errorf("the planner %q is not a member", view.Planner.Instance)
	}
	body, err := cbor.Marshal(n.report())
	if err != nil {
		return err
	}
	data, err := n.post(ctx, m.Address, reportPath, reportTimeout, body)
	if err != nil {
		return err
	}
	var response reportResponse
	if err := cbor.Unmarshal(data, &response); err != nil {
		return fmt.Errorf("decode the planner's response: %w", err)
	}
	n.lease.confirm(response)
	if response.StoreVersion > 0 {
		n.planner.sample(response.StoreVersion, time.Duration(response.StoreNow)*time.Millisecond)
	}
	return nil
}

// serveReport handles the report of another node.
func (n *Node) serveReport(w http.ResponseWriter, r *http.Request) {
	var report report
	if !n.readCall(w, r, &report) {
		return
	}
	if n.views.current().Planner.Instance != n.config.Instance || n.stopping.Load() || n.planner.storeUnresponsive() {
		// The other node then looks for a planner that reaches the store.
		http.Error(w, "this node does not plan", http.StatusConflict)
		return
	}
	n.writeCallResponse(w, n.planner.handleReport(report))
}
