package policybench

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/planner"
)

// finishMoves completes the moves that were open in the last second.
func (s *sim) finishMoves(t int) error {
	if !s.moving {
		return nil
	}
	s.moving = false
	var entries []cluster.Entry
	for _, svc := range s.services {
		assigned := s.state.Services[svc.name]
		if assigned == nil {
			continue
		}
		total := 0.0
		for i := range svc.ranges {
			total += svc.ranges[i].load
		}
		for i := range svc.hot {
			total += svc.hot[i].load
		}
		finish := func(id cluster.Unit, o cluster.Ownership, width float64) {
			to := s.servers[o.MovingTo]
			s.moving = s.moving || !o.MovingTo.IsZero()
			if o.MovingTo.IsZero() || to == nil || to.dead || s.servers[o.Owner].dead {
				return
			}
			entries = append(entries, cluster.Entry{Kind: cluster.EntryOwnerSet, Unit: id, Session: o.MovingTo})
			s.moved(svc, id, width, total, plannedGap, t)
		}
		for i, r := range assigned.Ranges {
			finish(cluster.Unit{Service: svc.name, Start: r.Start}, r.Ownership, assigned.Width(i))
		}
		for _, h := range assigned.HotKeys {
			finish(cluster.Unit{Service: svc.name, Start: h.Hash, Hot: true}, h.Ownership, 0)
		}
	}
	return s.apply(entries)
}

// moved counts a change of owner of width, after a gap in seconds.
func (s *sim) moved(svc *service, id cluster.Unit, width, total, gap float64, t int) {
	keys := width / float64(len(s.services))
	s.result.KeyChurn += keys
	if t >= s.series.Duration-lateTime {
		s.result.LateMoves++
	}
	s.result.Unavailable += max(keys*s.size.Keys, 1) * gap
	if s.lostAt >= 0 && t < s.lostAt+lossTime {
		s.result.LossMoved += keys / s.lostKeys
		s.result.LossKeys += keys
	}
	list := svc.ranges
	if id.Hot {
		list = svc.hot
	}
	if i, ok := search(list, id.Start); ok && total > 0 {
		s.result.LoadChurn += list[i].load / total / float64(len(s.services))
	}
}

// keysOf returns the share of all keys that session owns.
func (s *sim) keysOf(session cluster.Session) float64 {
	sum := 0.0
	for _, svc := range s.state.Services {
		for i, r := range svc.Ranges {
			if r.Owner == session {
				sum += svc.Width(i)
			}
		}
	}
	return sum / float64(len(s.services))
}

// loses reports whether sv is lost in second t.
func (s *sim) loses(sv *server, t int) bool {
	e := s.series.Events
	if e.LoseZoneAt > 0 && t == e.LoseZoneAt {
		return s.state.Members[sv.session].Zone == s.size.member("", s.size.Zones-1, 0).Zone
	}
	return e.LoseOneAt > 0 && t == e.LoseOneAt && sv.index == e.LoseIndex && sv.service == s.services[0].name
}

func (s *sim) events(t int) error {
	e := s.series.Events
	for _, sv := range s.sorted() {
		if s.loses(sv, t) {
			sv.dead = true
			s.lost = append(s.lost, sv.session)
			s.lostKeys += s.keysOf(sv.session)
			s.lostAt = t
			s.result.ForcedChurn = s.lostKeys
		}
	}
	var entries []cluster.Entry
	s.draining = slices.DeleteFunc(s.draining, func(session cluster.Session) bool {
		if len(s.state.UnitsOf(session)) > 0 {
			return false
		}
		sv := s.servers[session]
		entries = append(entries, cluster.Entry{Kind: cluster.EntryMemberLeft, Session: session},
			s.join(sv.service, sv.index, int(session.Incarnation)+1, t))
		s.order = nil
		delete(s.servers, session)
		return true
	})
	if s.replaced < e.Replacements && t >= e.ReplaceFrom && (t-e.ReplaceFrom)%e.ReplaceEvery == 0 {
		if sv := s.nextReplaced(); sv != nil {
			sv.leaving = true
			s.replaced++
			s.result.ForcedChurn += s.keysOf(sv.session)
			s.draining = append(s.draining, sv.session)
			entries = append(entries, cluster.Entry{Kind: cluster.EntryMemberDraining, Session: sv.session})
		}
	}
	return s.apply(entries)
}

// nextReplaced returns the server with the lowest incarnation, by instance.
func (s *sim) nextReplaced() *server {
	var best *server
	for _, sv := range s.sorted() {
		if !sv.leaving && (best == nil || sv.session.Incarnation < best.session.Incarnation) {
			best = sv
		}
	}
	return best
}

// lossDetected is the time in seconds from a loss to its fence.
const lossDetected = 2

func (s *sim) fenceDue(t int) bool { return len(s.lost) > 0 && t >= s.lostAt+lossDetected }

// frozenTime is the time in seconds for which a server is frozen.
const frozenTime = 60

func (s *sim) lies(sv *server, t int) bool {
	e := s.series.Events
	return sv.index == 0 && t >= e.LieFrom && t < e.LieTo
}

func (s *sim) frozen(sv *server, t int) bool {
	e := s.series.Events
	from := (e.LieFrom + e.LieTo) / 2
	return e.LieTo > 0 && sv.index == 1 && t >= from && t < from+frozenTime
}

// reportedKeys bounds the keys of a report, and minKeyShare their load, as
// planner.DefaultRecorderConfig does.
const (
	reportedKeys = 4
	minKeyShare  = 0.03
)

// report sends the reports that are due; members report at different times.
func (s *sim) report(t int) {
	s.load.Sync(s.state, s.now(t))
	for _, sv := range s.sorted() {
		if !sv.dead && (t+sv.index)%s.interval == 0 && t >= sv.since {
			s.load.Observe(sv.session, s.measure(sv, t), s.now(t))
			sv.since = t + 1
			clear(sv.keys)
		}
	}
}

// measure returns what the daemon of sv measured. A daemon cannot measure more busy
// slot time than its backend server has.
func (s *sim) measure(sv *server, t int) planner.Report {
	r := planner.Report{Version: s.state.Version, Units: make([]uint32, len(sv.units))}
	sum := 0.0
	for _, u := range sv.units {
		sum += u.busy / float64(t+1-u.since)
	}
	scale := 1.0
	if sum > sv.slots {
		scale = sv.slots / sum
	}
	if s.frozen(sv, t) {
		scale, r.Occupied = 0, uint32(sv.slots)
	}
	if s.lies(sv, t) {
		scale, r.Errors = 0.05, 60
	}
	index := map[uint64]int{}
	for i, u := range sv.units {
		r.Units[i] = uint32(math.Round(1000 * scale * u.busy / float64(t+1-u.since)))
		u.busy, u.since = 0, t+1
		if !u.id.Hot {
			index[u.id.Start] = i
		}
	}
	if !s.lies(sv, t) {
		r.Claimed = uint32(1000 * sum)
	}
	svc := s.serviceOf(sv.service)
	for hash, load := range sv.keys {
		share := scale * load / float64(t+1-sv.since)
		i, own := index[svc.find(hash).id.Start]
		if own && !svc.find(hash).id.Hot && share >= minKeyShare*sv.slots {
			r.Keys = append(r.Keys, planner.KeyLoad{Unit: uint32(i), Hash: hash, Load: uint32(1000 * share)})
		}
	}
	slices.SortFunc(r.Keys, func(a, b planner.KeyLoad) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Hash, b.Hash))
	})
	r.Keys = r.Keys[:min(len(r.Keys), reportedKeys)]
	return r
}

func (s *sim) serviceOf(name string) *service {
	for _, svc := range s.services {
		if svc.name == name {
			return svc
		}
	}
	return nil
}

// plan asks the policy for entries and commits them.
func (s *sim) plan(t int) error {
	var losses planner.Losses
	if s.fenceDue(t) {
		losses = planner.Losses{Fenced: s.lost, FloorMS: s.now(t).UnixMilli() + 400}
	}
	began := time.Now()
	entries := s.policy.Plan(s.state, s.load, losses, s.now(t))
	s.result.PlanMax = max(s.result.PlanMax, time.Since(began))
	first := len(s.state.Services) == 0
	s.moving = s.moving || len(entries) > 0
	if err := s.apply(entries); err != nil {
		return err
	}
	if losses.Fenced != nil {
		for _, session := range s.lost {
			s.order = nil
			delete(s.servers, session)
		}
		s.lost = nil
	}
	if !first {
		s.countAssigned(entries, t)
	}
	return nil
}

// countAssigned counts the units that got an owner after a loss.
func (s *sim) countAssigned(entries []cluster.Entry, t int) {
	for _, e := range entries {
		if e.Kind != cluster.EntryOwnerSet {
			continue
		}
		svc, width, total := s.serviceOf(e.Unit.Service), 0.0, 0.0
		for i := range svc.ranges {
			total += svc.ranges[i].load
			if !e.Unit.Hot && svc.ranges[i].id == e.Unit {
				width = svc.ranges[i].width
			}
		}
		s.moved(svc, e.Unit, width, total, lossGap, t)
	}
}
