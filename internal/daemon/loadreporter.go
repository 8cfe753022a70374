package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/internal/wire"
	"github.com/basilway/basilway/membership"
	"github.com/basilway/basilway/planner"
)

const (
	// loadTick is how often the recorder is asked whether a report is due.
	loadTick = 250 * time.Millisecond
	// loadSendTimeout bounds the sending of a report.
	loadSendTimeout = 2 * time.Second
	// relayInterval is how long reports of other daemons are collected before they are
	// sent to the planner.
	relayInterval = time.Second
	// maxRelayed bounds the collected reports. In a cluster of 1,900 members, a relay
	// collects those of 44.
	maxRelayed = 1024
)

// loadReporter measures the load of this session's units and reports it to the planner.
// In a large cluster it also relays reports of other daemons.
type loadReporter struct {
	baseCtx context.Context
	session cluster.Session
	peers   transport
	state   func() *cluster.State
	// status returns the current status of the backend server.
	status func() planner.Status
	wake   chan struct{}
	// deliver passes reports to this session's own plan worker.
	deliver func(wire.LoadReports)

	mu       sync.Mutex
	recorder *planner.Recorder
	members  int
	slots    uint32
	// forced is set while a report that reportNow requested is pending.
	forced bool
	// relayed are reports of other daemons to send to the planner.
	relayed   []wire.LoadReport
	relayedAt time.Time
}

func newLoadReporter(ctx context.Context, session cluster.Session, peers transport, state func() *cluster.State) *loadReporter {
	return &loadReporter{
		baseCtx: ctx, session: session, peers: peers, state: state,
		status: func() planner.Status { return planner.Status{} }, wake: make(chan struct{}, 1),
		deliver:  func(wire.LoadReports) {},
		recorder: planner.NewRecorder(planner.DefaultRecorderConfig(1, 1)),
	}
}

// record adds a finished request that used a slot for busy.
func (l *loadReporter) record(unit cluster.Unit, hash uint64, busy time.Duration, failed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recorder.Record(unit, hash, busy, failed)
}

// setUnits tells the recorder which units the session owns.
func (l *loadReporter) setUnits(state *cluster.State, slots uint32) {
	units := state.UnitsOf(l.session)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	interval, before := planner.ReportInterval(len(state.Members)), planner.ReportInterval(l.members)
	if slots != l.slots || intervalChanged(interval, before) {
		l.slots, l.members = slots, len(state.Members)
		l.recorder = planner.NewRecorder(planner.DefaultRecorderConfig(l.members, slots))
	}
	l.recorder.SetUnits(state.Version, units, now)
}

// intervalChanged reports whether the report interval changed so much that a recorder or
// load model is replaced by a new one, which has no measurements.
func intervalChanged(now, before time.Duration) bool {
	return now > before*3/2 || now < before*2/3
}

// reportNow requests a report before the next one is due.
func (l *loadReporter) reportNow() {
	l.mu.Lock()
	l.forced = true
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run sends reports until the session ends.
func (l *loadReporter) run() {
	ticker := time.NewTicker(loadTick)
	defer ticker.Stop()
	for {
		select {
		case <-l.baseCtx.Done():
			return
		case <-ticker.C:
		case <-l.wake:
		}
		l.report()
	}
}

func (l *loadReporter) report() {
	state := l.state()
	if _, member := state.Members[l.session]; !member || state.Planner.IsZero() {
		return
	}
	report, due := l.dueReport(state)
	l.mu.Lock()
	reports := l.relayed
	relay := len(reports) > 0 && time.Since(l.relayedAt) >= relayInterval
	if relay {
		l.relayed, l.relayedAt = nil, time.Now()
	}
	l.mu.Unlock()
	own := wire.LoadReport{Session: l.session, Report: report}
	switch {
	case relay && due:
		l.send(state, state.Planner, append(reports, own))
	case relay:
		l.send(state, state.Planner, reports)
	case due && report.Down:
		l.send(state, state.Planner, []wire.LoadReport{own}) // without a relay, because its units cannot be served
	case due:
		parent := membership.ReportParent(state.SortedMembers(), l.session, state.Planner)
		if !l.send(state, parent, []wire.LoadReport{own}) && parent != state.Planner {
			l.send(state, state.Planner, []wire.LoadReport{own})
		}
	}
}

// dueReport returns the report that is due, if any. A report that reportNow requested
// contains only the state of the backend server.
func (l *loadReporter) dueReport(state *cluster.State) (planner.Report, bool) {
	status := l.status()
	l.mu.Lock()
	defer l.mu.Unlock()
	report, due := l.recorder.Report(status, time.Now())
	if !due && l.forced {
		report, due = planner.Report{Version: state.Version, Down: status.Down, Occupied: status.Occupied}, true
	}
	l.forced = false
	return report, due
}

// send reports whether the reports arrived. Lost reports are not sent again; the next
// ones replace them.
func (l *loadReporter) send(state *cluster.State, to cluster.Session, reports []wire.LoadReport) bool {
	message := wire.LoadReports{Reports: reports}
	if to == l.session {
		l.deliver(message)
		return true
	}
	ctx, cancel := context.WithTimeout(l.baseCtx, loadSendTimeout)
	defer cancel()
	_, err := call[wire.Ack](ctx, l.peers, state.Members[to].Address, wire.KindLoad, message)
	return err == nil
}

// handle receives reports of other daemons. The planner uses them; another member relays
// the latest of each session to the planner.
func (l *loadReporter) handle(_ context.Context, m wire.LoadReports) (wire.Ack, error) {
	if l.state().Planner == l.session {
		l.deliver(m)
		return wire.Ack{}, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range m.Reports {
		l.relayed = slices.DeleteFunc(l.relayed, func(o wire.LoadReport) bool { return o.Session == r.Session })
		if len(l.relayed) < maxRelayed {
			l.relayed = append(l.relayed, r)
		}
	}
	return wire.Ack{}, nil
}
