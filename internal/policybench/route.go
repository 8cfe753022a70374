package policybench

import (
	"math"
	"slices"

	"github.com/basilway/basilway/cluster"
)

// service is the demand of a service and its assignment at one cluster version.
type service struct {
	name    string
	demand  *demand
	hotKeys []hotKey
	version uint64
	ranges  []unit
	hot     []unit
}

// unit is a range or hot key with its load.
type unit struct {
	id      cluster.Unit
	server  *server   // nil without an owner
	regions []float64 // load of each region at an activity of 1; nil for a hot key
	width   float64   // share of the hash space; 0 for a hot key
	load    float64   // in the current second
	busy    float64   // busy slot time in seconds, counted from second since on
	since   int       // second after the last report of the server, or of the unit's creation
}

// server is a member's queue and its measurements since its last report.
type server struct {
	session cluster.Session
	service string
	index   int
	slots   float64
	units   []*unit // in the order of cluster.State.UnitsOf
	offered float64 // in the current second
	backlog float64 // queued work, in slot-seconds
	window  [imbalanceWindow]float64
	total   float64            // sum of window
	since   int                // second after the last report, or of the start
	keys    map[uint64]float64 // load of each key of hotKeys outside a hot unit, summed from since on
	dead    bool
	leaving bool
}

// rebuildUnits rebuilds the units of svc if the cluster version changed.
func (s *sim) rebuildUnits(svc *service, t int) {
	assigned := s.state.Services[svc.name]
	if svc.version == s.state.Version || assigned == nil {
		return
	}
	svc.version = s.state.Version
	ranges, hot := make([]unit, len(assigned.Ranges)), make([]unit, len(assigned.HotKeys))
	for i, r := range assigned.Ranges {
		next := uint64(0)
		if i+1 < len(assigned.Ranges) {
			next = assigned.Ranges[i+1].Start
		}
		ranges[i] = unit{
			id: cluster.Unit{Service: svc.name, Start: r.Start}, server: s.servers[r.Owner],
			regions: make([]float64, s.size.Regions), width: assigned.Width(i), since: t,
		}
		svc.demand.regionLoads(r.Start, next, ranges[i].regions)
		ranges[i].copyMeasurements(svc.ranges)
	}
	for i, h := range assigned.HotKeys {
		hot[i] = unit{id: cluster.Unit{Service: svc.name, Start: h.Hash, Hot: true}, server: s.servers[h.Owner], since: t}
		hot[i].copyMeasurements(svc.hot)
	}
	svc.ranges, svc.hot = ranges, hot
	for _, sv := range s.sortedServers() {
		if sv.service == svc.name {
			sv.units = sv.units[:0]
		}
	}
	h := 0
	for i := range ranges {
		if sv := ranges[i].server; sv != nil {
			sv.units = append(sv.units, &ranges[i])
		}
		for ; h < len(hot) && (i+1 == len(ranges) || hot[h].id.Start < ranges[i+1].id.Start); h++ {
			if sv := hot[h].server; sv != nil {
				sv.units = append(sv.units, &hot[h])
			}
		}
	}
}

// copyMeasurements copies the measurements of the old unit with the same start if it has
// the same server and width.
func (u *unit) copyMeasurements(old []unit) {
	if i, ok := searchUnits(old, u.id.Start); ok && old[i].server == u.server && old[i].width == u.width {
		u.busy, u.since = old[i].busy, old[i].since
	}
}

func searchUnits(units []unit, start uint64) (int, bool) {
	return slices.BinarySearchFunc(units, start, func(u unit, t uint64) int {
		switch {
		case u.id.Start < t:
			return -1
		case u.id.Start > t:
			return 1
		default:
			return 0
		}
	})
}

// unitOf returns the unit that hash belongs to: its hot key, or else its range.
func (svc *service) unitOf(hash uint64) *unit {
	if i, ok := searchUnits(svc.hot, hash); ok {
		return &svc.hot[i]
	}
	i, ok := searchUnits(svc.ranges, hash)
	if !ok {
		i--
	}
	return &svc.ranges[i]
}

// offerLoad sets the load of each unit in second t and adds it to the unit's server.
func (s *sim) offerLoad(svc *service, t int) {
	if len(svc.ranges) == 0 {
		return
	}
	activity := make([]float64, s.size.Regions)
	for r := range activity {
		activity[r] = 1
		if s.series.Activity != nil {
			activity[r] = s.series.Activity(r, s.size.Regions, t)
		}
	}
	for i := range svc.ranges {
		u := &svc.ranges[i]
		u.load = 0
		for r, load := range u.regions {
			u.load += load * activity[r]
		}
		s.addLoad(u, s.withNoise(u.load))
	}
	for i := range svc.hot {
		svc.hot[i].load = 0
	}
	base := baseUtilization * float64(s.size.Slots)
	for _, k := range svc.hotKeys {
		load := s.withNoise(k.share(t) * base)
		if load <= 0 {
			continue
		}
		u := svc.unitOf(k.hash)
		u.load += load
		s.addLoad(u, load)
		if u.server != nil && !u.id.Hot {
			u.server.keys[k.hash] += load
		}
	}
}

func (s *sim) addLoad(u *unit, load float64) {
	s.requests += load / s.size.ServiceTime.Seconds()
	if u.server != nil {
		u.server.offered += load
		u.busy += load
	}
}

// withNoise adds the variance of Poisson arrivals of requests to the load of one second.
func (s *sim) withNoise(load float64) float64 {
	return max(0, load+math.Sqrt(load*s.size.ServiceTime.Seconds())*s.rng.NormFloat64())
}

// maxQueueSeconds is the capacity of a server's queue, in seconds of work for all of its
// slots.
const maxQueueSeconds = 0.25

// serve simulates the queue of sv in second t. Load that does not fit into the queue is
// shed.
func (s *sim) serve(sv *server, t int) {
	capacity := sv.slots
	if sv.dead || s.frozen(sv, t) {
		capacity = 0
	}
	sv.backlog = max(0, sv.backlog+sv.offered-capacity)
	if limit := maxQueueSeconds * sv.slots; sv.backlog > limit {
		s.result.Shed += (sv.backlog - limit) / s.size.ServiceTime.Seconds()
		sv.backlog = limit
	}
	sv.total += sv.offered - sv.window[t%imbalanceWindow]
	sv.window[t%imbalanceWindow] = sv.offered
	sv.offered = 0
}

// imbalance returns the highest ratio of maximum to mean load of any service. It counts
// the members that are neither dead nor draining, over the last imbalanceWindow seconds.
func (s *sim) imbalance() float64 {
	type tally struct{ most, sum, n float64 }
	tallies := map[string]*tally{}
	for _, svc := range s.services {
		tallies[svc.name] = &tally{}
	}
	for _, sv := range s.sortedServers() {
		if !sv.dead && !sv.leaving {
			x := tallies[sv.service]
			x.most, x.sum, x.n = max(x.most, sv.total), x.sum+sv.total, x.n+1
		}
	}
	worst := 0.0
	for _, x := range tallies {
		if x.sum > 0 {
			worst = max(worst, x.most*x.n/x.sum)
		}
	}
	return worst
}
