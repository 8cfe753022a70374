package policybench

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/planner"
)

// finishMoves completes the moves in progress, which began in an earlier second. Moves whose
// source or target is lost stay in progress.
func (s *sim) finishMoves(t int) error {
	if !s.movesInProgress {
		return nil
	}
	s.movesInProgress = false
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
			s.movesInProgress = s.movesInProgress || !o.MovingTo.IsZero()
			if o.MovingTo.IsZero() || to == nil || to.dead || s.servers[o.Owner].dead {
				return
			}
			entries = append(entries, cluster.Entry{Kind: cluster.EntryOwnerSet, Unit: id, Session: o.MovingTo})
			s.countMove(svc, id, width, total, plannedMoveGap, t)
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

// countMove counts a change of owner of a unit. width is the unit's share of the keys of
// its service, total is the load of the service, and gap is the time in seconds without an
// owner.
func (s *sim) countMove(svc *service, id cluster.Unit, width, total, gap float64, t int) {
	keyShare := width / float64(len(s.services))
	s.result.KeyChurn += keyShare
	if t >= s.series.Duration-lateWindow {
		s.result.LateMoves++
	}
	s.result.Unavailable += max(keyShare*s.size.Keys, 1) * gap
	if s.lostAt >= 0 && t < s.lostAt+lossWindow {
		s.result.LossMoved += keyShare / s.lostKeyShare
		s.result.LossKeys += keyShare
	}
	list := svc.ranges
	if id.Hot {
		list = svc.hot
	}
	if i, ok := searchUnits(list, id.Start); ok && total > 0 {
		s.result.LoadChurn += list[i].load / total / float64(len(s.services))
	}
}

// keyShare returns the share of all keys that session owns.
func (s *sim) keyShare(session cluster.Session) float64 {
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

// isLost reports whether sv is lost in second t.
func (s *sim) isLost(sv *server, t int) bool {
	e := s.series.Events
	if e.LoseZoneAt > 0 && t == e.LoseZoneAt {
		return s.state.Members[sv.session].Zone == s.size.member("", s.size.Zones-1, 0).Zone
	}
	return e.LoseOneAt > 0 && t == e.LoseOneAt && sv.index == e.LoseIndex && sv.service == s.services[0].name
}

// applyEvents applies the losses and replacements that are due in second t.
func (s *sim) applyEvents(t int) error {
	e := s.series.Events
	for _, sv := range s.sortedServers() {
		if s.isLost(sv, t) {
			sv.dead = true
			s.lost = append(s.lost, sv.session)
			s.lostKeyShare += s.keyShare(sv.session)
			s.lostAt = t
			s.result.ForcedChurn = s.lostKeyShare
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
		s.serverOrder = nil
		delete(s.servers, session)
		return true
	})
	if s.replacements < e.Replacements && t >= e.ReplaceFrom && (t-e.ReplaceFrom)%e.ReplaceEvery == 0 {
		if sv := s.nextToReplace(); sv != nil {
			sv.leaving = true
			s.replacements++
			s.result.ForcedChurn += s.keyShare(sv.session)
			s.draining = append(s.draining, sv.session)
			entries = append(entries, cluster.Entry{Kind: cluster.EntryMemberDraining, Session: sv.session})
		}
	}
	return s.apply(entries)
}

// nextToReplace returns the server with the lowest incarnation, the first by session if
// several have it.
func (s *sim) nextToReplace() *server {
	var next *server
	for _, sv := range s.sortedServers() {
		if !sv.leaving && (next == nil || sv.session.Incarnation < next.session.Incarnation) {
			next = sv
		}
	}
	return next
}

// lossDetectionTime is the time in seconds from a loss until the member is fenced.
const lossDetectionTime = 2

func (s *sim) fenceDue(t int) bool { return len(s.lost) > 0 && t >= s.lostAt+lossDetectionTime }

// freezeTime is the time in seconds for which a server is frozen.
const freezeTime = 60

// misreports reports whether sv fails requests fast and claims no load in second t.
func (s *sim) misreports(sv *server, t int) bool {
	e := s.series.Events
	return sv.index == 0 && t >= e.MisreportFrom && t < e.MisreportTo
}

func (s *sim) frozen(sv *server, t int) bool {
	e := s.series.Events
	from := (e.MisreportFrom + e.MisreportTo) / 2
	return e.MisreportTo > 0 && sv.index == 1 && t >= from && t < from+freezeTime
}

// Limits on the keys in a report, as in planner.DefaultRecorderConfig: their number, and
// their least load as a share of the server's slots.
const (
	maxReportedKeys = 4
	minKeyShare     = 0.03
)

// sendReports passes the reports that are due to the load model. The reports of members
// are spread over the report interval.
func (s *sim) sendReports(t int) {
	s.load.Sync(s.state, s.now(t))
	for _, sv := range s.sortedServers() {
		if !sv.dead && (t+sv.index)%s.reportInterval == 0 && t >= sv.since {
			s.load.Observe(sv.session, s.buildReport(sv, t), s.now(t))
			sv.since = t + 1
			clear(sv.keys)
		}
	}
}

// buildReport returns the report of the daemon beside sv. A daemon measures busy slot time,
// which cannot exceed the slots of its backend server.
func (s *sim) buildReport(sv *server, t int) planner.Report {
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
	if s.misreports(sv, t) {
		scale, r.ErrorPercent = 0.05, 60
	}
	index := map[uint64]int{}
	for i, u := range sv.units {
		r.Units[i] = uint32(math.Round(1000 * scale * u.busy / float64(t+1-u.since)))
		u.busy, u.since = 0, t+1
		if !u.id.Hot {
			index[u.id.Start] = i
		}
	}
	if !s.misreports(sv, t) {
		r.ClaimedLoad = uint32(1000 * sum)
	}
	svc := s.serviceOf(sv.service)
	for hash, load := range sv.keys {
		share := scale * load / float64(t+1-sv.since)
		i, own := index[svc.unitOf(hash).id.Start]
		if own && !svc.unitOf(hash).id.Hot && share >= minKeyShare*sv.slots {
			r.Keys = append(r.Keys, planner.KeyLoad{Unit: uint32(i), Hash: hash, Load: uint32(1000 * share)})
		}
	}
	slices.SortFunc(r.Keys, func(a, b planner.KeyLoad) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Hash, b.Hash))
	})
	r.Keys = r.Keys[:min(len(r.Keys), maxReportedKeys)]
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

// plan runs the policy and applies its entries.
func (s *sim) plan(t int) error {
	var losses planner.Losses
	if s.fenceDue(t) {
		losses = planner.Losses{Fenced: s.lost, FloorMS: s.now(t).UnixMilli() + 400}
	}
	began := time.Now()
	entries := s.policy.Plan(s.state, s.load, losses, s.now(t))
	s.result.PlanMax = max(s.result.PlanMax, time.Since(began))
	initial := len(s.state.Services) == 0
	s.movesInProgress = s.movesInProgress || len(entries) > 0
	if err := s.apply(entries); err != nil {
		return err
	}
	if losses.Fenced != nil {
		for _, session := range s.lost {
			s.serverOrder = nil
			delete(s.servers, session)
		}
		s.lost = nil
	}
	if !initial {
		s.countReassigned(entries, t)
	}
	return nil
}

// countReassigned counts the units that got a new owner after a loss.
func (s *sim) countReassigned(entries []cluster.Entry, t int) {
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
		s.countMove(svc, e.Unit, width, total, lossGap, t)
	}
}
