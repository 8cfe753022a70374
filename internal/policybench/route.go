package policybench

import (
	"math"
	"slices"

	"github.com/basilway/basilway/cluster"
)

// service is the demand of a service and its routing at one cluster version.
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
	server  *server // nil without an owner
	regions []float64
	width   float64
	load    float64 // in this second
	busy    float64 // since the last report of its server
	since   int     // start of that time
}

// server is a member's queue and its measurements since the last report.
type server struct {
	session cluster.Session
	service string
	index   int
	slots   float64
	units   []*unit // in the order of cluster.State.UnitsOf
	offered float64 // in this second
	backlog float64
	window  [window]float64
	total   float64 // sum of window
	since   int
	keys    map[uint64]float64
	dead    bool
	leaving bool
}

// route rebuilds the units of svc if the cluster version changed.
func (s *sim) route(svc *service, t int) {
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
		svc.demand.span(r.Start, next, ranges[i].regions)
		ranges[i].keep(svc.ranges)
	}
	for i, h := range assigned.HotKeys {
		hot[i] = unit{id: cluster.Unit{Service: svc.name, Start: h.Hash, Hot: true}, server: s.servers[h.Owner], since: t}
		hot[i].keep(svc.hot)
	}
	svc.ranges, svc.hot = ranges, hot
	for _, sv := range s.sorted() {
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

// keep takes the measurements of the same unit at the same server.
func (u *unit) keep(old []unit) {
	if i, ok := search(old, u.id.Start); ok && old[i].server == u.server && old[i].width == u.width {
		u.busy, u.since = old[i].busy, old[i].since
	}
}

func search(units []unit, start uint64) (int, bool) {
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

// find returns the unit that decides the owner of hash.
func (svc *service) find(hash uint64) *unit {
	if i, ok := search(svc.hot, hash); ok {
		return &svc.hot[i]
	}
	i, ok := search(svc.ranges, hash)
	if !ok {
		i--
	}
	return &svc.ranges[i]
}

// offer sets the load of each unit in second t and adds it to its server.
func (s *sim) offer(svc *service, t int) {
	if len(svc.ranges) == 0 {
		return
	}
	swell := make([]float64, s.size.Regions)
	for r := range swell {
		swell[r] = 1
		if s.series.Swell != nil {
			swell[r] = s.series.Swell(r, s.size.Regions, t)
		}
	}
	for i := range svc.ranges {
		u := &svc.ranges[i]
		u.load = 0
		for r, load := range u.regions {
			u.load += load * swell[r]
		}
		s.add(u, s.noisy(u.load))
	}
	for i := range svc.hot {
		svc.hot[i].load = 0
	}
	base := baseUtil * float64(s.size.Slots)
	for _, k := range svc.hotKeys {
		load := s.noisy(k.share(t) * base)
		if load <= 0 {
			continue
		}
		u := svc.find(k.hash)
		u.load += load
		s.add(u, load)
		if u.server != nil && !u.id.Hot {
			u.server.keys[k.hash] += load
		}
	}
}

func (s *sim) add(u *unit, load float64) {
	s.requests += load / s.size.ServiceTime.Seconds()
	if u.server != nil {
		u.server.offered += load
		u.busy += load
	}
}

// noisy varies the load of a second as Poisson arrivals of requests do.
func (s *sim) noisy(load float64) float64 {
	return max(0, load+math.Sqrt(load*s.size.ServiceTime.Seconds())*s.rng.NormFloat64())
}

// queueSeconds is the length of a server's queue in seconds of all its slots.
const queueSeconds = 0.25

// serve runs one second of the queue of sv. Load that finds the queue full is shed.
func (s *sim) serve(sv *server, t int) {
	capacity := sv.slots
	if sv.dead || s.frozen(sv, t) {
		capacity = 0
	}
	sv.backlog = max(0, sv.backlog+sv.offered-capacity)
	if limit := queueSeconds * sv.slots; sv.backlog > limit {
		s.result.Shed += (sv.backlog - limit) / s.size.ServiceTime.Seconds()
		sv.backlog = limit
	}
	sv.total += sv.offered - sv.window[t%window]
	sv.window[t%window] = sv.offered
	sv.offered = 0
}

// imbalance returns the highest max over mean of the services, over the members that
// neither left nor drain.
func (s *sim) imbalance() float64 {
	type tally struct{ most, sum, n float64 }
	tallies := map[string]*tally{}
	for _, svc := range s.services {
		tallies[svc.name] = &tally{}
	}
	for _, sv := range s.sorted() {
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
