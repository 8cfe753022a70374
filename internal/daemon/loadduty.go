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
	// relayInterval is how long reports of other daemons are collected.
	relayInterval = time.Second
	// maxRelayed bounds them; a relay of a cluster of 1,900 has 44.
	maxRelayed = 1024
)

// loadDuty measures the load of this session's units and reports it to the planner.
type loadDuty struct {
	life    context.Context
	session cluster.Session
	peers   transport
	state   func() *cluster.State
	// status returns what is known about the backend server.
	status func() planner.Status
	due    chan struct{}
	// deliver hands reports to this session's own planner.
	deliver func(wire.LoadReports)

	mu       sync.Mutex
	recorder *planner.Recorder
	members  int
	slots    uint32
	forced   bool
	// relayed are reports of other daemons for the planner.
	relayed   []wire.LoadReport
	relayedAt time.Time
}

func newLoadDuty(life context.Context, session cluster.Session, peers transport, state func() *cluster.State) *loadDuty {
	return &loadDuty{
		life: life, session: session, peers: peers, state: state,
		status: func() planner.Status { return planner.Status{} }, due: make(chan struct{}, 1),
		deliver:  func(wire.LoadReports) {},
		recorder: planner.NewRecorder(planner.DefaultRecorderConfig(1, 1)),
	}
}

// record adds a request that used a slot for busy.
func (d *loadDuty) record(unit cluster.Unit, hash uint64, busy time.Duration, failed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recorder.Record(unit, hash, busy, failed)
}

// setUnits tells the recorder which units the session owns.
func (d *loadDuty) setUnits(state *cluster.State, slots uint32) {
	units := state.UnitsOf(d.session)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	interval, before := planner.ReportInterval(len(state.Members)), planner.ReportInterval(d.members)
	if slots != d.slots || intervalChanged(interval, before) {
		d.slots, d.members = slots, len(state.Members)
		d.recorder = planner.NewRecorder(planner.DefaultRecorderConfig(d.members, slots))
	}
	d.recorder.SetUnits(state.Version, units, now)
}

// intervalChanged reports whether a new report interval is worth a new recorder or load
// model, which start without measurements.
func intervalChanged(now, before time.Duration) bool {
	return now > before*3/2 || now < before*2/3
}

// reportNow asks for a report before its time.
func (d *loadDuty) reportNow() {
	d.mu.Lock()
	d.forced = true
	d.mu.Unlock()
	select {
	case d.due <- struct{}{}:
	default:
	}
}

// run reports until the duty's life ends.
func (d *loadDuty) run() {
	ticker := time.NewTicker(loadTick)
	defer ticker.Stop()
	for {
		select {
		case <-d.life.Done():
			return
		case <-ticker.C:
		case <-d.due:
		}
		d.report()
	}
}

func (d *loadDuty) report() {
	state := d.state()
	if _, member := state.Members[d.session]; !member || state.Planner.IsZero() {
		return
	}
	report, due := d.next(state)
	d.mu.Lock()
	reports := d.relayed
	relay := len(reports) > 0 && time.Since(d.relayedAt) >= relayInterval
	if relay {
		d.relayed, d.relayedAt = nil, time.Now()
	}
	d.mu.Unlock()
	own := wire.LoadReport{Session: d.session, Report: report}
	switch {
	case relay && due:
		d.send(state, state.Planner, append(reports, own))
	case relay:
		d.send(state, state.Planner, reports)
	case due && report.Down:
		d.send(state, state.Planner, []wire.LoadReport{own}) // its units cannot be served
	case due:
		parent := membership.ReportParent(state.SortedMembers(), d.session, state.Planner)
		if !d.send(state, parent, []wire.LoadReport{own}) && parent != state.Planner {
			d.send(state, state.Planner, []wire.LoadReport{own})
		}
	}
}

// next returns the report that is due, if any. A report that is asked for early says only
// whether the backend server takes requests.
func (d *loadDuty) next(state *cluster.State) (planner.Report, bool) {
	status := d.status()
	d.mu.Lock()
	defer d.mu.Unlock()
	report, due := d.recorder.Report(status, time.Now())
	if !due && d.forced {
		report, due = planner.Report{Version: state.Version, Down: status.Down, Occupied: status.Occupied}, true
	}
	d.forced = false
	return report, due
}

// send reports whether the reports arrived. Lost ones are replaced by the next.
func (d *loadDuty) send(state *cluster.State, to cluster.Session, reports []wire.LoadReport) bool {
	message := wire.LoadReports{Reports: reports}
	if to == d.session {
		d.deliver(message)
		return true
	}
	ctx, cancel := context.WithTimeout(d.life, loadSendTimeout)
	defer cancel()
	_, err := call[wire.Ack](ctx, d.peers, state.Members[to].Address, wire.KindLoad, message)
	return err == nil
}

// handle takes reports of other daemons: the planner uses them, another member passes
// them on to the planner. A later report of a session replaces an earlier one.
func (d *loadDuty) handle(_ context.Context, m wire.LoadReports) (wire.Ack, error) {
	if d.state().Planner == d.session {
		d.deliver(m)
		return wire.Ack{}, nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range m.Reports {
		d.relayed = slices.DeleteFunc(d.relayed, func(o wire.LoadReport) bool { return o.Session == r.Session })
		if len(d.relayed) < maxRelayed {
			d.relayed = append(d.relayed, r)
		}
	}
	return wire.Ack{}, nil
}
