package planner

import (
	"math"
	"time"

	"github.com/basilway/basilway/cluster"
)

// LoadModel estimates the load of every unit from the reports of the daemons. The
// planner feeds it with Sync after each cluster version and Observe for each report.
// It is not safe for concurrent use.
type LoadModel struct {
	cfg      LoadConfig
	version  uint64
	synced   bool
	started  time.Time // time of the first Sync
	members  map[cluster.Session]*memberLoad
	services map[string]*serviceLoad
	moves    map[cluster.Unit]time.Time
}

type memberLoad struct {
	firstSeen  time.Time // zero if present when the planner started
	lastReport time.Time
	changedAt  uint64 // cluster version at which its list of units last changed
	units      []cluster.Unit
	errors     uint8
	stalled    bool
	down       bool
	claimed    float64
	measured   float64
}

type serviceLoad struct {
	ranges []rangeLoad // same indices as cluster.Service.Ranges
	hot    []hotLoad   // same indices as cluster.Service.HotKeys
	keys   map[uint64]*estimate
}

type rangeLoad struct {
	start uint64
	width float64
	estimate
}

type hotLoad struct {
	hash uint64
	estimate
}

// estimate is a smoothed load in slots; at is zero while nothing was reported.
type estimate struct {
	value float64
	shown float64 // what plans see, see LoadConfig.Deadband
	slow  float64 // smoothed over LoadConfig.Lasting
	at    time.Time
}

// NewLoadModel returns a model without reports.
func NewLoadModel(cfg LoadConfig) *LoadModel {
	return &LoadModel{
		cfg: cfg, members: map[cluster.Session]*memberLoad{},
		services: map[string]*serviceLoad{}, moves: map[cluster.Unit]time.Time{},
	}
}

// Observe takes a report of session. It returns false if the report does not apply: the
// session is unknown, or its units changed after the report's version.
func (m *LoadModel) Observe(session cluster.Session, r Report, now time.Time) bool {
	member := m.members[session]
	if member == nil {
		return false
	}
	member.down = r.Down
	if r.Version < member.changedAt || len(r.Units) != len(member.units) {
		return false
	}
	elapsed := now.Sub(member.lastReport)
	if member.lastReport.IsZero() {
		elapsed = m.cfg.Rise
	}
	total := 0.0
	for _, load := range r.Units {
		total += float64(load) / 1000
	}
	// A server whose slots are full but that finishes next to nothing is frozen.
	member.stalled = r.Occupied > 0 && total < float64(r.Occupied)/10
	member.errors, member.lastReport = r.Errors, now
	member.claimed, member.measured = float64(r.Claimed)/1000, total
	credit := !member.stalled && r.Errors <= m.cfg.MaxErrors
	for i, load := range r.Units {
		if e := m.unit(member.units[i]); e != nil {
			m.fold(e, float64(load)/1000, elapsed, credit, now)
		}
	}
	for _, k := range r.Keys {
		if int(k.Unit) < len(member.units) {
			m.observeKey(member.units[k.Unit].Service, k, elapsed, now)
		}
	}
	return true
}

func (m *LoadModel) observeKey(service string, k KeyLoad, elapsed time.Duration, now time.Time) {
	svc := m.services[service]
	if svc == nil {
		return
	}
	if _, ok := svc.hotIndex(k.Hash); ok {
		return
	}
	e := svc.keys[k.Hash]
	if e == nil {
		e = &estimate{}
		svc.keys[k.Hash] = e
	}
	m.fold(e, float64(k.Load)/1000, elapsed, true, now)
}

// fold moves e towards value. Without credit it only rises: requests that fail fast or
// never finish need little slot time, which must not attract more of them.
func (m *LoadModel) fold(e *estimate, value float64, elapsed time.Duration, credit bool, now time.Time) {
	if !credit {
		value = max(value, e.value)
	}
	if e.at.IsZero() {
		e.value, e.slow = value, value
	} else {
		tau := m.cfg.Rise
		if value < e.value {
			tau = m.cfg.Fall
		}
		e.value += (value - e.value) * (1 - math.Exp(-elapsed.Seconds()/tau.Seconds()))
		e.slow += (value - e.slow) * (1 - math.Exp(-elapsed.Seconds()/m.cfg.Lasting.Seconds()))
	}
	if math.Abs(e.value-e.shown) > m.cfg.Deadband*e.shown {
		e.shown = e.value
	}
	e.at = now
}

// SetDown records whether the backend server of session accepts requests. The daemon
// tells the planner at once when that changes; reports repeat it.
func (m *LoadModel) SetDown(session cluster.Session, down bool) {
	if member := m.members[session]; member != nil {
		member.down = down
	}
}

// UnitLoad returns the estimated load of unit in slots, 0 if it is unknown.
func (m *LoadModel) UnitLoad(unit cluster.Unit) float64 {
	if e := m.unit(unit); e != nil {
		return e.shown
	}
	return 0
}

// MemberLoad returns the sum of the estimated loads of the units of session in slots.
func (m *LoadModel) MemberLoad(session cluster.Session) float64 {
	member := m.members[session]
	if member == nil {
		return 0
	}
	total := 0.0
	for _, u := range member.units {
		total += m.UnitLoad(u)
	}
	return total
}

// HeavyKeys calls yield for each heavy key of service that is not isolated, in no
// particular order.
func (m *LoadModel) HeavyKeys(service string, yield func(hash uint64, load float64)) {
	if svc := m.services[service]; svc != nil {
		for hash, e := range svc.keys {
			yield(hash, e.shown)
		}
	}
}

// Claim returns the load that the load endpoint of session claims and the load that
// its daemon measured, both in slots.
func (m *LoadModel) Claim(session cluster.Session) (claimed, measured float64) {
	if member := m.members[session]; member != nil {
		return member.claimed, member.measured
	}
	return 0, 0
}

// Eligible reports whether session may get more units: its backend server is up, does
// not fail or freeze, and reports arrive.
func (m *LoadModel) Eligible(session cluster.Session, now time.Time) bool {
	member := m.members[session]
	if member == nil || member.down || member.stalled || member.errors > m.cfg.MaxErrors {
		return false
	}
	heard := member.lastReport
	if heard.IsZero() {
		heard = m.started
		if member.firstSeen.After(heard) {
			heard = member.firstSeen
		}
	}
	return now.Sub(heard) <= m.cfg.StaleAfter
}

// Down reports whether the backend server of session does not accept requests.
func (m *LoadModel) Down(session cluster.Session) bool {
	member := m.members[session]
	return member != nil && member.down
}
