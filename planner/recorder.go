package planner

import (
	"math"
	"time"

	"github.com/basilway/basilway/cluster"
)

// RecorderConfig configures a Recorder.
type RecorderConfig struct {
	// Interval is the shortest time between reports; see ReportInterval. Only a change
	// of Status.Down is reported earlier.
	Interval time.Duration
	// MaxInterval is the longest time between reports. It must be well below
	// LoadConfig.StaleAfter, or members with steady load count as silent.
	MaxInterval time.Duration
	// MinChange is the relative change of a unit's load that makes a report due.
	// Smaller values give more reports.
	MinChange float64
	// Slots is the backend server's capacity in concurrent requests.
	Slots uint32
	// MaxKeys limits the keys in a report; each takes about 14 bytes.
	MaxKeys int
	// MinKeyShare is the smallest load of a reported key, as a share of Slots. Below
	// it, a key cannot unbalance a server by itself.
	MinKeyShare float64
	// SketchSize is the number of keys that are counted at a time, 40 bytes each.
	// The error of a key's load is at most the total load / SketchSize.
	SketchSize int
}

// DefaultRecorderConfig returns the configuration for a backend server with the given
// slots in a cluster with the given number of members.
func DefaultRecorderConfig(members int, slots uint32) RecorderConfig {
	interval := ReportInterval(members)
	return RecorderConfig{
		Interval: interval, MaxInterval: max(10*time.Second, 2*interval), MinChange: 0.1,
		Slots: slots, MaxKeys: 4, MinKeyShare: 0.03, SketchSize: 128,
	}
}

// Recorder measures the load of one daemon's units. It is not safe for concurrent use.
type Recorder struct {
	cfg     RecorderConfig
	version uint64
	units   []cluster.Unit
	indexOf map[cluster.Unit]int
	busy    []time.Duration // slot time of each unit in the current window
	since   []time.Time     // start of the window of each unit
	sketch  *sketch

	requests, failed uint64
	last             Report
	lastAt           time.Time
	unitsChanged     bool
}

// Status is what a daemon knows about its backend server when it makes a report.
type Status struct {
	// Occupied is the number of slots in use.
	Occupied uint32
	// ClaimedLoad is the load that the backend server's load endpoint claims, in slots.
	ClaimedLoad float64
	// Down is true if the backend server does not accept requests.
	Down bool
}

// NewRecorder returns a recorder without units.
func NewRecorder(cfg RecorderConfig) *Recorder {
	return &Recorder{cfg: cfg, indexOf: map[cluster.Unit]int{}, sketch: newSketch(cfg.SketchSize)}
}

// SetUnits sets the units that the daemon owns at cluster version, in the order of
// cluster.State.UnitsOf. The load of a new unit is measured from now on.
func (r *Recorder) SetUnits(version uint64, units []cluster.Unit, now time.Time) {
	busy, since := make([]time.Duration, len(units)), make([]time.Time, len(units))
	indexOf := make(map[cluster.Unit]int, len(units))
	for i, u := range units {
		since[i] = now
		if old, ok := r.indexOf[u]; ok {
			busy[i], since[i] = r.busy[old], r.since[old]
		}
		indexOf[u] = i
	}
	for i, c := range r.sketch.heap {
		index, ok := indexOf[r.units[c.unit]]
		if !ok {
			index = -1
		}
		r.sketch.heap[i].unit = index
	}
	if !equalUnits(r.units, units) {
		r.unitsChanged = true
	}
	r.sketch.dropUnit(-1)
	r.version, r.units, r.indexOf, r.busy, r.since = version, units, indexOf, busy, since
}

// Record adds a finished request of the key with hash that used a slot for busy.
// Requests of units that the daemon does not own are ignored.
func (r *Recorder) Record(unit cluster.Unit, hash uint64, busy time.Duration, failed bool) {
	i, ok := r.indexOf[unit]
	if !ok {
		return
	}
	r.requests++
	if failed {
		r.failed++
	}
	r.busy[i] += busy
	if !unit.Hot {
		r.sketch.add(i, hash, int64(busy))
	}
}

// Report returns the report of the window that ends now, and whether it is due. If it
// is due, a new window starts.
func (r *Recorder) Report(status Status, now time.Time) (Report, bool) {
	age := now.Sub(r.lastAt)
	urgent := status.Down != r.last.Down
	if !urgent && age < r.cfg.Interval {
		return Report{}, false
	}
	report := r.measure(status, now)
	if !urgent && age < r.cfg.MaxInterval && !r.unitsChanged && !r.differs(report) {
		return Report{}, false
	}
	r.last, r.lastAt, r.unitsChanged = report, now, false
	clear(r.busy)
	for i := range r.since {
		r.since[i] = now
	}
	r.requests, r.failed = 0, 0
	r.sketch.reset()
	return report, true
}

func (r *Recorder) measure(status Status, now time.Time) Report {
	report := Report{
		Version: r.version, Units: make([]uint32, len(r.units)), Occupied: status.Occupied,
		ClaimedLoad: toMillislots(status.ClaimedLoad), Down: status.Down,
	}
	longest := time.Duration(0)
	for i := range r.units {
		window := now.Sub(r.since[i])
		longest = max(longest, window)
		if window > 0 {
			report.Units[i] = toMillislots(float64(r.busy[i]) / float64(window))
		}
	}
	if r.requests > 0 {
		report.ErrorPercent = uint8(100 * r.failed / r.requests)
	}
	minWeight := r.cfg.MinKeyShare * float64(r.cfg.Slots) * float64(longest)
	for _, c := range r.sketch.top(r.cfg.MaxKeys, int64(minWeight)) {
		window := now.Sub(r.since[c.unit])
		if window <= 0 {
			continue
		}
		load := toMillislots(float64(c.weight-c.overestimate) / float64(window))
		report.Keys = append(report.Keys, KeyLoad{Unit: uint32(c.unit), Hash: c.hash, Load: load})
	}
	return report
}

// differs reports whether the load or the error rate changed enough since the last report.
// Load changes below 1 % of the slots are noise, whatever their relative size.
func (r *Recorder) differs(report Report) bool {
	floor := 10 * float64(r.cfg.Slots)
	for i, load := range report.Units {
		if i >= len(r.last.Units) {
			return true
		}
		was := float64(r.last.Units[i])
		if math.Abs(float64(load)-was) > max(floor, r.cfg.MinChange*was) {
			return true
		}
	}
	return report.ErrorPercent/10 != r.last.ErrorPercent/10
}

func toMillislots(slots float64) uint32 {
	return uint32(min(max(math.Round(slots*1000), 0), math.MaxUint32))
}

func equalUnits(a, b []cluster.Unit) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
