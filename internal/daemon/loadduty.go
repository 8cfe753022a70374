package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/internal/wire"
	"github.com/basilway/basilway/planner"
)

const (
	// loadTick is how often the recorder is asked whether a report is due.
	loadTick = 250 * time.Millisecond
	// loadSendTimeout bounds the sending of a report.
	loadSendTimeout = 2 * time.Second
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

	mu       sync.Mutex
	recorder *planner.Recorder
	members  int
	slots    uint32
	forced   bool
}

func newLoadDuty(life context.Context, session cluster.Session, peers transport, state func() *cluster.State) *loadDuty {
	return &loadDuty{
		life: life, session: session, peers: peers, state: state,
		status: func() planner.Status { return planner.Status{} }, due: make(chan struct{}, 1),
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
	interval := planner.ReportInterval(len(state.Members))
	if slots != d.slots || interval != planner.ReportInterval(d.members) {
		d.slots, d.members = slots, len(state.Members)
		d.recorder = planner.NewRecorder(planner.DefaultRecorderConfig(d.members, slots))
	}
	d.recorder.SetUnits(state.Version, units, now)
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
	address := state.Members[state.Planner].Address
	if _, member := state.Members[d.session]; !member || address == "" {
		return
	}
	status := d.status()
	d.mu.Lock()
	report, due := d.recorder.Report(status, time.Now())
	if !due && d.forced {
		report = planner.Report{Version: state.Version, Down: status.Down, Occupied: status.Occupied}
	}
	send := due || d.forced
	d.forced = false
	d.mu.Unlock()
	if !send {
		return
	}
	ctx, cancel := context.WithTimeout(d.life, loadSendTimeout)
	defer cancel()
	// A lost report is replaced by the next one.
	_, _ = call[wire.Ack](ctx, d.peers, address, wire.KindLoad, wire.LoadReport{Session: d.session, Report: report})
}
