package planner

import (
	"math"
	"time"

	"github.com/basilway/basilway/cluster"
)

// LoadModel estimates the load of every unit from the daemons' reports. The planner calls
// Sync for each cluster version and Observe for each report. It is not safe for concurrent
// use.
type LoadModel struct {
	cfg      LoadConfig
	version  uint64
	synced   bool
	started  time.Time // time of the first Sync
	members  map[cluster.Session]*memberLoad
	services map[string]*serviceLoad
	moveSeen map[cluster.Unit]time.Time // when each open move was first seen
}

type memberLoad struct {
	firstSeen    time.Time // zero if already a member at the first Sync
	lastReport   time.Time
	unitsVersion uint64 // cluster version in which its list of units last changed
	units        []cluster.Unit
	errors       uint8
	frozen       bool
	down         bool
	claimed      float64
	measured     float64
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

// estimate is a smoothed load in slots; at is zero until a load is reported.
type estimate struct {
	value float64
	shown float64 // the value that plans use; see LoadConfig.Deadband
	slow  float64 // smoothed over LoadConfig.Slow
	at    time.Time
}

// NewLoadModel returns a model without reports.
func NewLoadModel(cfg LoadConfig) *LoadModel {
	return &LoadModel{
		cfg: cfg, members: map[cluster.Session]*memberLoad{},
		services: map[string]*serviceLoad{}, moveSeen: map[cluster.Unit]time.Time{},
	}
}

// Observe adds a report of session. It returns false if the report does not apply: the
// session is unknown, or its units changed after the report's version.
func (m *LoadModel) Observe(session cluster.Session, r Report, now time.Time) bool {
	member := m.members[session]
	if member == nil {
		return false
	}
	member.down = r.Down
	if r.Version < member.unitsVersion || len(r.Units) != len(member.units) {
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
	// Slots are in use but almost nothing finishes: the server is frozen.
	member.frozen = r.Occupied > 0 && total < float64(r.Occupied)/10
	member.errors, member.lastReport = r.ErrorPercent, now
	member.claimed, member.measured = float64(r.ClaimedLoad)/1000, total
	allowDecrease := !member.frozen && r.ErrorPercent <= m.cfg.MaxErrorPercent
	for i, load := range r.Units {
		if e := m.estimateOf(member.units[i]); e != nil {
			m.smooth(e, float64(load)/1000, elapsed, allowDecrease, now)
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
	m.smooth(e, float64(k.Load)/1000, elapsed, true, now)
}

// smooth applies exponential smoothing to e. Without allowDecrease the value only rises:
// requests that fail fast or never finish use little slot time, and that must not attract
// more requests.
func (m *LoadModel) smooth(e *estimate, value float64, elapsed time.Duration, allowDecrease bool, now time.Time) {
	if !allowDecrease {
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
		e.slow += (value - e.slow) * (1 - math.Exp(-elapsed.Seconds()/m.cfg.Slow.Seconds()))
	}
	if math.Abs(e.value-e.shown) > m.cfg.Deadband*e.shown {
		e.shown = e.value
	}
	e.at = now
}

// SetDown records whether the backend server of session is down, that is, does not accept
// requests. The daemon tells the planner as soon as that changes; reports repeat it.
func (m *LoadModel) SetDown(session cluster.Session, down bool) {
	if member := m.members[session]; member != nil {
		member.down = down
	}
}

// UnitLoad returns the estimated load of unit in slots, or 0 if it is unknown.
func (m *LoadModel) UnitLoad(unit cluster.Unit) float64 {
	if e := m.estimateOf(unit); e != nil {
		return e.shown
	}
	return 0
}

// MemberLoad returns the estimated load of all units of session in slots.
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

// Claim returns the load that the load endpoint of session's backend server claims and the
// load that its daemon measured, both in slots.
func (m *LoadModel) Claim(session cluster.Session) (claimed, measured float64) {
	if member := m.members[session]; member != nil {
		return member.claimed, member.measured
	}
	return 0, 0
}

// Eligible reports whether session may get more units: its backend server is up, is not
// frozen and does not fail too many requests, and its daemon reported within StaleAfter.
func (m *LoadModel) Eligible(session cluster.Session, now time.Time) bool {
	member := m.members[session]
	if member == nil || member.down || member.frozen || member.errors > m.cfg.MaxErrorPercent {
		return false
	}
	lastHeard := member.lastReport
	if lastHeard.IsZero() {
		lastHeard = m.started
		if member.firstSeen.After(lastHeard) {
			lastHeard = member.firstSeen
		}
	}
	return now.Sub(lastHeard) <= m.cfg.StaleAfter
}

// Down reports whether the backend server of session does not accept requests.
func (m *LoadModel) Down(session cluster.Session) bool {
	member := m.members[session]
	return member != nil && member.down
}
