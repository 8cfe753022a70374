package node

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
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
	// DesiredReadAge is how long ago in milliseconds the node last read the desired state in the
	// store; nil if it never did. Desired is the version in force.
	DesiredReadAge *uint32 `cbor:"9,keyasint,omitempty"`
	Desired        uint64  `cbor:"10,keyasint,omitempty"`
	// Evacuations are the evacuated availability zones that the node knows.
	Evacuations *evacuationMessage `cbor:"11,keyasint,omitempty"`
	// Learned is what the node has learned about the backend server; nil if it learns nothing.
	Learned *learnedCapacity `cbor:"14,keyasint,omitempty"`
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
	// DesiredReadAge is how long ago in milliseconds any node last read the desired state in the
	// store; nil if that is not known. Desired is the version in force at the planner.
	DesiredReadAge *uint32 `cbor:"4,keyasint,omitempty"`
	Desired        uint64  `cbor:"5,keyasint,omitempty"`
	// Evacuations are those that the planner knows, if the node does not.
	Evacuations *evacuationMessage `cbor:"6,keyasint,omitempty"`
}

const (
	// minReportInterval is the shortest mean time between two reports of a node. Hot keys are
	// detected after two or three of them.
	minReportInterval = 400 * time.Millisecond
	// maxReportInterval is the longest; a lease that the planner does not renew for
	// leaseSelfRenewAfter is renewed by its node.
	maxReportInterval = 1200 * time.Millisecond
	// reportsPerSecond is the rate of all reports together, within these bounds. They all reach the
	// planner, which may run on a small machine.
	reportsPerSecond = 450.0
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
	var vacantSince time.Time // zero while the planner accepts reports
	now := n.reportNow.wait()
	for ctx.Err() == nil {
		interval := minReportInterval
		if missed == 0 {
			interval = reportInterval(len(n.views.current().Members))
		}
		sleepUnless(ctx, jitter(interval*4/3), now)
		now = n.reportNow.wait()
		view := n.views.current()
		n.plannerContact.observe(view.Planner, time.Now())
		if view.Planner.Instance == n.config.Instance {
			n.lease.confirm(n.planner.handleReport(n.report()))
			n.plannerContact.recordAccepted(view.Planner, time.Now())
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
		if missed < maxMissedReports && view.Planner.Instance != "" {
			vacantSince = time.Time{}
			continue
		}
		if vacantSince.IsZero() {
			vacantSince = time.Now()
		}
		vacant := time.Since(vacantSince)
		checkLease := n.isCandidate(view, vacant, candidatesPerRound)
		if checkLease || view.Planner.Instance != "" && n.isCandidate(view, vacant, askersPerRound) {
			n.planner.tryBecomePlanner(ctx, checkLease)
		}
	}
}

// reportInterval returns the mean time between two reports of a node in a cluster with a number of
// members.
func reportInterval(members int) time.Duration {
	interval := time.Duration(float64(members) / reportsPerSecond * float64(time.Second))
	return min(max(interval, minReportInterval), maxReportInterval)
}

func (n *Node) report() report {
	r := report{Instance: n.config.Instance, Demand: n.demand.take(), Work: map[string]uint32{}, Lease: n.lease.requestRenewal()}
	for route, work := range n.backend.queue.workByRoute() {
		r.Work[route] = uint32(work.Microseconds())
	}
	for route, work := range n.backend.capacity.usual() {
		r.Work[route] = uint32(work.Microseconds())
	}
	if learned, ok := n.backend.capacity.learned(); ok {
		r.Learned = &learned
	}
	if limit, limited := n.statuses.limit(n.backend.owner().Incarnation); limited {
		r.Limit = &limit
	}
	r.Vouched, r.Generation = n.backend.vouchedRanges()
	r.Desired, _ = n.views.desiredState()
	r.Evacuations = n.views.evacuationMessage()
	if age, known := n.desiredStateReadAge(); known {
		r.DesiredReadAge = milliseconds(age)
	}
	n.backend.mu.Lock()
	defer n.backend.mu.Unlock()
	r.Cold = n.mayBeCold() || n.backend.tracker != nil && n.now().Before(n.backend.lastHeartbeatAt.Add(n.backend.lastHeartbeat.WarmUpLeft))
	return r
}

// candidatesPerRound is the mean number of nodes that check in a report interval whether to become
// the planner, while there is none. Each check is a priced store call.
const candidatesPerRound = 4.0

// askersPerRound is the mean number of nodes that ask others in a report interval whether the planner
// accepts their reports. Questions are no store calls, and with few askers the first one comes late.
const askersPerRound = 12.0

// largestFirstPeriod is how long only the largest instances try to become the planner. They may not
// reach the store.
const largestFirstPeriod = 1500 * time.Millisecond

// isCandidate reports whether this node checks now whether to become the planner, after a time
// without one. perRound is the mean number of nodes that do in a report interval.
func (n *Node) isCandidate(view *View, vacant time.Duration, perRound float64) bool {
	larger, equal := 0, 0
	for _, m := range view.Members {
		switch {
		case n.peers.isLost(m.Address):
		case m.Cores > n.config.Cores:
			larger++
		case m.Cores == n.config.Cores:
			equal++
		}
	}
	if vacant < largestFirstPeriod && larger > 0 {
		return false
	}
	return rand.Float64() < perRound/float64(max(equal, 1))
}

// milliseconds returns a duration as it is sent.
func milliseconds(d time.Duration) *uint32 {
	ms := uint32(min(d.Milliseconds(), math.MaxUint32))
	return &ms
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
	sent := time.Now()
	data, err := n.post(ctx, m.Address, reportPath, reportTimeout, body)
	if err != nil {
		return err
	}
	var response reportResponse
	if err := cbor.Unmarshal(data, &response); err != nil {
		return fmt.Errorf("decode the planner's response: %w", err)
	}
	n.plannerContact.recordAccepted(view.Planner, time.Now())
	n.lease.confirm(response)
	n.views.mergeEvacuationMessage(response.Evacuations)
	if response.StoreVersion > 0 {
		n.planner.sample(response.StoreVersion, time.Duration(response.StoreNow)*time.Millisecond)
	}
	if response.DesiredReadAge != nil {
		n.newestRead.record(sent.Add(-time.Duration(*response.DesiredReadAge) * time.Millisecond))
	}
	if version, _ := n.views.desiredState(); response.Desired > version {
		n.compareDesiredState(ctx, m.Address)
		n.fetcher.heard(response.Desired, m.Address)
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
	response := n.planner.handleReport(report)
	response.Desired, _ = n.views.desiredState()
	response.Evacuations = n.views.answerEvacuations(report.Evacuations)
	if m, ok := n.views.current().Members[report.Instance]; ok && report.Desired > response.Desired {
		go n.compareDesiredState(context.WithoutCancel(r.Context()), m.Address)
	}
	n.writeCallResponse(w, response)
}
